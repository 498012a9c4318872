package org.otterpond.control.state;

import java.util.List;
import java.util.Set;
import org.otterpond.protocol.WireRecord;

/**
 * What an epoch names: its primary, its backups (none only in a core of one, or where no loss is to
 * be borne) and the core's members. Primary and backups are the epoch's group: each of them holds
 * all that the epoch acknowledged.
 *
 * @param priors other sets of members, in force before, after which no epoch is known to have begun
 *     when this one was proposed: until it has begun itself, a majority of each of them must agree
 *     to what goes on from it
 */
public record EpochRecord(
    String fleet,
    long epoch,
    CoreMember primary,
    List<CoreMember> backups,
    List<CoreMember> members,
    int target,
    List<List<CoreMember>> priors) {
  public EpochRecord(
      String fleet,
      long epoch,
      CoreMember primary,
      List<CoreMember> backups,
      List<CoreMember> members,
      int target) {
    this(fleet, epoch, primary, backups, members, target, List.of());
  }

  public WireRecord toWireRecord() {
    List<WireRecord> sets =
        priors.stream().map(p -> new WireRecord("set").withRecords("members", records(p))).toList();
    WireRecord f =
        new WireRecord("epoch")
            .with("fleet", fleet)
            .with("epoch", epoch)
            .with("primary", primary.toWireRecord())
            .withRecords("backups", records(backups))
            .withRecords("members", records(members))
            .with("target", target);
    return sets.isEmpty() ? f : f.withRecords("priors", sets);
  }

  public static EpochRecord of(WireRecord f) {
    if (f == null) {
      return null;
    }
    // Journals written when there was one backup name it by itself.
    List<CoreMember> backups =
        f.has("backup") ? List.of(CoreMember.of(f.nested("backup"))) : members(f, "backups");
    return new EpochRecord(
        f.text("fleet"),
        f.number("epoch"),
        CoreMember.of(f.nested("primary")),
        backups,
        members(f, "members"),
        (int) f.number("target"),
        f.records("priors").stream().map(p -> members(p, "members")).toList());
  }

  private static List<WireRecord> records(List<CoreMember> members) {
    return members.stream().map(CoreMember::toWireRecord).toList();
  }

  private static List<CoreMember> members(WireRecord f, String name) {
    return f.records(name).stream().map(CoreMember::of).toList();
  }

  public boolean hasMember(String diskId) {
    return members.stream().anyMatch(m -> m.diskId().equals(diskId));
  }

  public boolean inGroup(String diskId) {
    return primary.diskId().equals(diskId) || rankOf(diskId) >= 0;
  }

  /** The place among the backups, -1 if it is none of them. */
  public int rankOf(String diskId) {
    return place(backups, diskId);
  }

  public int quorum() {
    return members.size() / 2 + 1;
  }

  /** Whether these disks are a majority of the set. */
  public static boolean isMajority(List<CoreMember> set, Set<String> disks) {
    return set.stream().filter(m -> disks.contains(m.diskId())).count() >= set.size() / 2 + 1;
  }

  public static boolean sameSet(List<CoreMember> a, List<CoreMember> b) {
    return a.size() == b.size() && a.stream().allMatch(m -> place(b, m.diskId()) >= 0);
  }

  public int indexOf(String diskId) {
    return place(members, diskId);
  }

  private static int place(List<CoreMember> members, String diskId) {
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).diskId().equals(diskId)) {
        return i;
      }
    }
    return -1;
  }
}
