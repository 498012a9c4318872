package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The configuration of one replica group as the configuration manager installed it (PacificA,
 * section "Configuration Management").
 *
 * <p>A member is named by its disk and its address, so a machine whose disk was wiped is another
 * member.
 *
 * <p>A group with fewer members than the replication factor goes on, but acknowledges nothing to
 * clients. Whoever leaves it in that time therefore still holds everything that was acknowledged,
 * and is listed as eligible until the group is fully replicated again.
 *
 * @param group number of the group
 * @param version number of the configuration; each installed proposal raises it by one
 * @param primary the member that orders the updates
 * @param secondaries the members that prepare every update before it is committed
 * @param wanted the members that the manager wants; not covered by the version, it only says whom
 *     the primary should add or remove
 * @param replicationFactor number of members that must hold an update before it is acknowledged
 * @param eligible former members that hold everything that was acknowledged; one of them may lead
 *     if the disks of all members are lost
 */
public record GroupConfiguration(
    int group,
    long version,
    String primary,
    List<String> secondaries,
    List<String> wanted,
    int replicationFactor,
    List<String> eligible) {
  /** The encoded kind of a configuration nested in a message or a log record. */
  static final String NESTED_KIND = "view";

  private static final String GROUP = "group";
  private static final String VERSION = "version";
  private static final String PRIMARY = "primary";
  private static final String SECONDARIES = "secondaries";
  private static final String WANTED = "wanted";
  private static final String REPLICATION_FACTOR = "factor";
  private static final String ELIGIBLE = "eligible";
  private static final char DISK_SEPARATOR = '@';

  /** Creates a configuration whose replication factor is the number of wanted members. */
  public GroupConfiguration(
      int group, long version, String primary, List<String> secondaries, List<String> wanted) {
    this(group, version, primary, secondaries, wanted, wanted.size(), List.of());
  }

  /**
   * Reads a configuration that this node or its manager wrote.
   *
   * @throws IllegalArgumentException if the group, version or primary is missing
   */
  public static GroupConfiguration of(WireRecord encoded) {
    try {
      return read(encoded);
    } catch (ProtocolException e) {
      throw new IllegalArgumentException("configuration of a replica group", e);
    }
  }

  /**
   * Reads a configuration.
   *
   * @throws ProtocolException if the group, version or primary is missing
   */
  public static GroupConfiguration read(WireRecord encoded) throws ProtocolException {
    List<String> wanted = texts(encoded.list(WANTED));
    return new GroupConfiguration(
        (int) encoded.requiredNumber(GROUP),
        encoded.requiredNumber(VERSION),
        encoded.requiredText(PRIMARY),
        texts(encoded.list(SECONDARIES)),
        wanted,
        encoded.has(REPLICATION_FACTOR)
            ? (int) encoded.requiredNumber(REPLICATION_FACTOR)
            : wanted.size(),
        texts(encoded.list(ELIGIBLE)));
  }

  private static List<String> texts(List<Object> values) {
    return values.stream().map(String.class::cast).toList();
  }

  /** Returns the encoded form under the given kind. */
  public WireRecord toWireRecord(String kind) {
    WireRecord encoded =
        new WireRecord(kind)
            .with(GROUP, group)
            .with(VERSION, version)
            .with(PRIMARY, primary)
            .with(SECONDARIES, secondaries)
            .with(WANTED, wanted);
    // Left out where they have their defaults, as in the form of earlier versions.
    if (replicationFactor != wanted.size()) {
      encoded = encoded.with(REPLICATION_FACTOR, replicationFactor);
    }
    return eligible.isEmpty() ? encoded : encoded.with(ELIGIBLE, eligible);
  }

  /** Returns the encoded form for a field of a message or log record. */
  WireRecord toNestedRecord() {
    return toWireRecord(NESTED_KIND);
  }

  /** Returns the name of the member with that disk identity and network address. */
  public static String member(String disk, String address) {
    return disk + DISK_SEPARATOR + address;
  }

  /** Returns the network address of a member. */
  public static String addressOf(String member) {
    return member.substring(member.indexOf(DISK_SEPARATOR) + 1);
  }

  /** Returns the primary and the secondaries, the primary first. */
  public List<String> members() {
    List<String> members = new ArrayList<>();
    members.add(primary);
    members.addAll(secondaries);
    return members;
  }

  /** Returns whether the member is the primary or a secondary. */
  public boolean has(String member) {
    return primary.equals(member) || secondaries.contains(member);
  }

  /** Returns whether every wanted member is a member. */
  boolean hasAllWanted() {
    return members().containsAll(wanted);
  }

  /** Returns the secondaries except the given member. */
  List<String> secondariesExcept(String member) {
    return secondaries.stream().filter(secondary -> !secondary.equals(member)).toList();
  }

  /** Returns the next version with the given primary and secondaries. */
  public GroupConfiguration next(String newPrimary, List<String> newSecondaries) {
    return new GroupConfiguration(
        group,
        version + 1,
        newPrimary,
        List.copyOf(newSecondaries),
        wanted,
        replicationFactor,
        eligible);
  }

  /** Returns the next version without a secondary. */
  public GroupConfiguration withoutSecondary(String member) {
    return next(primary, secondariesExcept(member));
  }

  /** Returns the next version with one more secondary. */
  GroupConfiguration withSecondary(String member) {
    List<String> extended = new ArrayList<>(secondaries);
    extended.add(member);
    return next(primary, extended);
  }

  /** Returns the next version with a secondary as primary and without the present primary. */
  GroupConfiguration withPrimary(String secondary) {
    return next(secondary, secondariesExcept(secondary));
  }

  /** Returns the next version with this replica as the only member. */
  GroupConfiguration withPrimaryAlone(String replica) {
    return next(replica, List.of());
  }

  /** Returns the same version with other wanted members. */
  public GroupConfiguration withWantedMembers(List<String> newWanted) {
    return new GroupConfiguration(
        group, version, primary, secondaries, List.copyOf(newWanted), replicationFactor, eligible);
  }

  /** Returns the same version with another replication factor. */
  public GroupConfiguration withReplicationFactor(int newFactor) {
    return new GroupConfiguration(
        group, version, primary, secondaries, wanted, newFactor, eligible);
  }

  /** Returns whether there are as many members as must hold an update before it is acknowledged. */
  public boolean isFullyReplicated() {
    return 1 + secondaries.size() >= replicationFactor;
  }

  /** Returns whether a replica that is no member must keep its copy. */
  public boolean isEligible(String replica) {
    return eligible.contains(replica);
  }

  /**
   * Returns what the configuration manager installs on a proposal, this being the configuration in
   * force.
   *
   * <p>The primary of a proposal is a member. Where the disks of all members are lost it may be an
   * eligible replica alone: the others may have applied updates that it lacks, none of which was
   * acknowledged, so they are copied to anew.
   *
   * @param proposed the proposal; its wanted members, factor and eligible replicas are not used
   * @param diskLost whether the disk of a member is known to be lost
   * @return the next configuration, or empty if the proposal is refused
   */
  public Optional<GroupConfiguration> accept(
      GroupConfiguration proposed, Predicate<String> diskLost) {
    boolean ofNextVersion = proposed.version() == version + 1;
    if (!ofNextVersion || !(has(proposed.primary()) || mayTakeOver(proposed, diskLost))) {
      return Optional.empty();
    }
    List<String> nextEligible = new ArrayList<>();
    if (proposed.members().size() < replicationFactor) {
      nextEligible.addAll(members());
      nextEligible.addAll(eligible);
      nextEligible.removeIf(replica -> proposed.has(replica) || diskLost.test(replica));
    }
    return Optional.of(
        new GroupConfiguration(
            group,
            proposed.version(),
            proposed.primary(),
            proposed.secondaries(),
            wanted,
            replicationFactor,
            nextEligible.stream().distinct().toList()));
  }

  private boolean mayTakeOver(GroupConfiguration proposed, Predicate<String> diskLost) {
    return isEligible(proposed.primary())
        && proposed.secondaries().isEmpty()
        && members().stream().allMatch(diskLost);
  }
}
