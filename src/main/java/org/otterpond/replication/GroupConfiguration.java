package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The configuration of one replica group as the configuration manager installed it (PacificA,
 * section "Configuration Management").
 *
 * <p>A member is named by its disk and its address, so a machine whose disk was wiped is another
 * member.
 *
 * @param group number of the group
 * @param version number of the configuration; each installed proposal raises it by one
 * @param primary the member that orders the updates
 * @param secondaries the members that prepare every update before it is committed
 * @param wanted the members that the manager wants; not covered by the version, it only says whom
 *     the primary should add or remove
 */
public record GroupConfiguration(
    int group, long version, String primary, List<String> secondaries, List<String> wanted) {
  /** The encoded kind of a configuration nested in a message or a log record. */
  static final String NESTED_KIND = "view";

  private static final String GROUP = "group";
  private static final String VERSION = "version";
  private static final String PRIMARY = "primary";
  private static final String SECONDARIES = "secondaries";
  private static final String WANTED = "wanted";
  private static final char DISK_SEPARATOR = '@';

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
    return new GroupConfiguration(
        (int) encoded.requiredNumber(GROUP),
        encoded.requiredNumber(VERSION),
        encoded.requiredText(PRIMARY),
        texts(encoded.list(SECONDARIES)),
        texts(encoded.list(WANTED)));
  }

  private static List<String> texts(List<Object> values) {
    return values.stream().map(String.class::cast).toList();
  }

  /** Returns the encoded form under the given kind. */
  public WireRecord toWireRecord(String kind) {
    return new WireRecord(kind)
        .with(GROUP, group)
        .with(VERSION, version)
        .with(PRIMARY, primary)
        .with(SECONDARIES, secondaries)
        .with(WANTED, wanted);
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
        group, version + 1, newPrimary, List.copyOf(newSecondaries), wanted);
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

  /** Returns the same version with other wanted members. */
  public GroupConfiguration withWantedMembers(List<String> newWanted) {
    return new GroupConfiguration(group, version, primary, secondaries, List.copyOf(newWanted));
  }
}
