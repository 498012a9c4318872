package org.otterpond.messaging;

import org.otterpond.replication.ReplicaGroupTimeouts;

/**
 * Settings of a machine that stores messages.
 *
 * @param statusMicros how long the state of a message can be queried after its end
 * @param keyWindowMicros how long a repeat of an accepted operation gets the id of the first
 * @param cacheBytes how many bytes of the newest messages are kept in memory
 * @param times the timeouts of the replica groups
 */
public record MessageStoreSettings(
    long statusMicros, long keyWindowMicros, long cacheBytes, ReplicaGroupTimeouts times) {
  private static final long MARGIN_MICROS = 10_000_000;

  /** Returns how long a message that has ended stays in the index. */
  long endedRetentionMicros() {
    return Math.max(statusMicros, keyWindowMicros) + MARGIN_MICROS;
  }

  /** Returns for how long a segment must have been closed before it is dropped. */
  long segmentRetentionMicros() {
    return endedRetentionMicros() + MARGIN_MICROS;
  }
}
