package org.otterpond.control.primary;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.state.CoreMember;

/**
 * Delays repeated attempts to take the same disk into the core: the delay doubles with each attempt
 * until the disk is a member.
 */
final class JoinBackoff {
  private static final long FIRST_DELAY_MICROS = 1_000_000;
  private static final int MAX_DOUBLINGS = 4;

  private final Map<String, Attempts> attemptsByDisk = new HashMap<>();

  private record Attempts(long lastAtMicros, int count) {
    long delayMicros() {
      return FIRST_DELAY_MICROS << Math.min(MAX_DOUBLINGS, count - 1);
    }
  }

  /** Forgets the attempts of disks that are members. */
  void joined(List<CoreMember> members) {
    members.forEach(member -> attemptsByDisk.remove(member.diskId()));
  }

  /** Notes an attempt. */
  void attempted(CoreMember candidate, long nowMicros) {
    attemptsByDisk.merge(
        candidate.diskId(),
        new Attempts(nowMicros, 1),
        (before, first) -> new Attempts(nowMicros, before.count() + 1));
  }

  /** Whether the disk may be tried now. */
  boolean mayTry(CoreMember candidate, long nowMicros) {
    Attempts attempts = attemptsByDisk.get(candidate.diskId());
    return attempts == null || nowMicros - attempts.lastAtMicros() >= attempts.delayMicros();
  }
}
