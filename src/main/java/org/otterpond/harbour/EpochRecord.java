package org.otterpond.harbour;

import java.util.List;
import java.util.Set;
import org.otterpond.signal.Flag;

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
    Berth primary,
    List<Berth> backups,
    List<Berth> members,
    int target,
    List<List<Berth>> priors) {
  public EpochRecord(
      String fleet,
      long epoch,
      Berth primary,
      List<Berth> backups,
      List<Berth> members,
      int target) {
    this(fleet, epoch, primary, backups, members, target, List.of());
  }

  public Flag toFlag() {
    List<Flag> sets =
        priors.stream().map(p -> new Flag("set").withFlags("members", flags(p))).toList();
    Flag f =
        new Flag("epoch")
            .with("fleet", fleet)
            .with("epoch", epoch)
            .with("primary", primary.toFlag())
            .withFlags("backups", flags(backups))
            .withFlags("members", flags(members))
            .with("target", target);
    return sets.isEmpty() ? f : f.withFlags("priors", sets);
  }

  public static EpochRecord of(Flag f) {
    if (f == null) {
      return null;
    }
    // Journals written when there was one backup name it by itself.
    List<Berth> backups =
        f.has("backup") ? List.of(Berth.of(f.flag("backup"))) : berths(f, "backups");
    return new EpochRecord(
        f.text("fleet"),
        f.number("epoch"),
        Berth.of(f.flag("primary")),
        backups,
        berths(f, "members"),
        (int) f.number("target"),
        f.flags("priors").stream().map(p -> berths(p, "members")).toList());
  }

  private static List<Flag> flags(List<Berth> berths) {
    return berths.stream().map(Berth::toFlag).toList();
  }

  private static List<Berth> berths(Flag f, String name) {
    return f.flags(name).stream().map(Berth::of).toList();
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
  static boolean isMajority(List<Berth> set, Set<String> disks) {
    return set.stream().filter(m -> disks.contains(m.diskId())).count() >= set.size() / 2 + 1;
  }

  static boolean sameSet(List<Berth> a, List<Berth> b) {
    return a.size() == b.size() && a.stream().allMatch(m -> place(b, m.diskId()) >= 0);
  }

  public int indexOf(String diskId) {
    return place(members, diskId);
  }

  private static int place(List<Berth> berths, String diskId) {
    for (int i = 0; i < berths.size(); i++) {
      if (berths.get(i).diskId().equals(diskId)) {
        return i;
      }
    }
    return -1;
  }
}
