package org.otterpond.messaging;

import org.otterpond.replication.ReplicaGroupTimeouts;

/**
 * What the deployment demands of a machine that stores messages.
 *
 * @param statusMicros how long the state of a message is told after its end
 * @param keyWindowMicros how long a repeat of an accepted operation gets the first one's name
 * @param cacheBytes how much of the newest messages is kept in memory
 */
public record MessageStoreSettings(
    long statusMicros, long keyWindowMicros, long cacheBytes, ReplicaGroupTimeouts times) {
  long endedKept() {
    return Math.max(statusMicros, keyWindowMicros) + 10_000_000;
  }
}
