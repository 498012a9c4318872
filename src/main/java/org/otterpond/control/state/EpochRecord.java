package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The configuration of one epoch: its primary, its backups and the members of the core. Primary and
 * backups form the epoch's group: each of them has everything that the epoch acknowledged.
 * Immutable.
 *
 * @param fleet identity of the fleet, chosen when the core was bootstrapped
 * @param epoch number of the epoch, from 1
 * @param primary the primary
 * @param backups the backups in the order in which they take over; empty only in a core of one, or
 *     if no loss has to be tolerated
 * @param members the disks whose majority accepts records
 * @param target the number of members aimed at
 * @param priors earlier member sets, in force before, after which no epoch is known to have begun
 *     when this one was proposed: until it has begun itself, a majority of each of them must accept
 *     its successors
 */
public record EpochRecord(
    String fleet,
    long epoch,
    CoreMember primary,
    List<CoreMember> backups,
    List<CoreMember> members,
    int target,
    List<List<CoreMember>> priors)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "epoch";

  private static final String FLEET = "fleet";
  private static final String EPOCH = "epoch";
  private static final String PRIMARY = "primary";
  private static final String BACKUPS = "backups";
  private static final String MEMBERS = "members";
  private static final String TARGET = "target";
  private static final String PRIORS = "priors";

  /** The only backup, in records of versions that had one. */
  private static final String SINGLE_BACKUP = "backup";

  /** The encoded kind of one set of {@link #priors}. */
  private static final String MEMBER_SET_KIND = "set";

  private static final int ABSENT = -1;

  /** Creates a record without prior member sets. */
  public EpochRecord(
      String fleet,
      long epoch,
      CoreMember primary,
      List<CoreMember> backups,
      List<CoreMember> members,
      int target) {
    this(fleet, epoch, primary, backups, members, target, List.of());
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded =
        new WireRecord(KIND)
            .with(FLEET, fleet)
            .with(EPOCH, epoch)
            .with(PRIMARY, primary.toWireRecord())
            .withRecords(BACKUPS, encode(backups))
            .withRecords(MEMBERS, encode(members))
            .with(TARGET, target);
    return priors.isEmpty() ? encoded : encoded.withRecords(PRIORS, encodeSets(priors));
  }

  private static List<WireRecord> encode(List<CoreMember> members) {
    return members.stream().map(CoreMember::toWireRecord).toList();
  }

  private static List<WireRecord> encodeSets(List<List<CoreMember>> sets) {
    return sets.stream()
        .map(set -> new WireRecord(MEMBER_SET_KIND).withRecords(MEMBERS, encode(set)))
        .toList();
  }

  /**
   * Reads a record.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static EpochRecord decode(WireRecord encoded) throws ProtocolException {
    List<List<CoreMember>> priors = new ArrayList<>();
    for (WireRecord set : encoded.records(PRIORS)) {
      priors.add(decodeMembers(set, MEMBERS));
    }
    return new EpochRecord(
        encoded.requiredText(FLEET),
        encoded.requiredNumber(EPOCH),
        CoreMember.decode(encoded.requiredNested(PRIMARY)),
        decodeBackups(encoded),
        decodeMembers(encoded, MEMBERS),
        (int) encoded.requiredNumber(TARGET),
        List.copyOf(priors));
  }

  /** Versions with at most one backup left the field out if there was none. */
  private static List<CoreMember> decodeBackups(WireRecord encoded) throws ProtocolException {
    if (encoded.has(SINGLE_BACKUP)) {
      return List.of(CoreMember.decode(encoded.requiredNested(SINGLE_BACKUP)));
    }
    return encoded.has(BACKUPS) ? decodeMembers(encoded, BACKUPS) : List.of();
  }

  private static List<CoreMember> decodeMembers(WireRecord encoded, String field)
      throws ProtocolException {
    List<CoreMember> members = new ArrayList<>();
    for (WireRecord member : encoded.requiredRecords(field)) {
      members.add(CoreMember.decode(member));
    }
    return List.copyOf(members);
  }

  /**
   * Reads a record that may be absent; null stays null. Code that can reject a message uses {@link
   * #decode}.
   *
   * @throws IllegalArgumentException if a required field is missing
   */
  public static EpochRecord of(WireRecord encoded) {
    if (encoded == null) {
      return null;
    }
    try {
      return decode(encoded);
    } catch (ProtocolException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /** Returns whether the disk is a member. */
  public boolean hasMember(String diskId) {
    return memberIndex(diskId) != ABSENT;
  }

  /** Returns whether the disk is the primary or a backup. */
  public boolean isInGroup(String diskId) {
    return primary.diskId().equals(diskId) || backupRank(diskId) != ABSENT;
  }

  /** Returns the position among the backups, or -1 if the disk is none of them. */
  public int backupRank(String diskId) {
    return position(backups, diskId);
  }

  /** Returns the position among the members, or -1 if the disk is none of them. */
  public int memberIndex(String diskId) {
    return position(members, diskId);
  }

  /** Returns the number of members that form a majority. */
  public int quorum() {
    return majority(members);
  }

  /** Returns whether the disks include a majority of the member set. */
  public static boolean isMajority(List<CoreMember> set, Set<String> disks) {
    long included = set.stream().filter(member -> disks.contains(member.diskId())).count();
    return included >= majority(set);
  }

  /** Returns whether both lists name the same disks, in any order. */
  public static boolean sameSet(List<CoreMember> first, List<CoreMember> second) {
    return first.size() == second.size()
        && first.stream().allMatch(member -> position(second, member.diskId()) != ABSENT);
  }

  private static int majority(List<CoreMember> members) {
    return members.size() / 2 + 1;
  }

  private static int position(List<CoreMember> members, String diskId) {
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).diskId().equals(diskId)) {
        return i;
      }
    }
    return ABSENT;
  }
}
