package org.otterpond.control.primary;

import java.util.HashMap;
import java.util.Map;

/**
 * Members that are not chosen for a replica group for some time, as the group removed them or could
 * not bring them up to date.
 */
final class AvoidedMembers {
  private static final long AVOIDED_MICROS = 8_000_000;

  private final Map<GroupMember, Long> untilMicros = new HashMap<>();

  private record GroupMember(long group, String member) {}

  /** Avoids a member for a group from now on. */
  void add(long group, String member, long nowMicros) {
    untilMicros.put(new GroupMember(group, member), nowMicros + AVOIDED_MICROS);
  }

  /** Forgets the members whose time has passed. */
  void expire(long nowMicros) {
    untilMicros.values().removeIf(until -> until <= nowMicros);
  }

  /** Whether a member is avoided for a group. */
  boolean contains(long group, String member) {
    return untilMicros.containsKey(new GroupMember(group, member));
  }
}
