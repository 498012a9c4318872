package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks what can be observed from outside a cluster against the guarantees of the control plane.
 * It knows nothing of how the nodes work.
 */
final class InvariantChecker {
  /** How long the lock of an idempotency key is kept after its request was executed. */
  static final long KEY_RETENTION_MICROS = 60_000_000;

  private static final double MICROS_PER_SECOND = 1e6;

  private record Execution(String token, long timeMicros) {}

  private final SimulatedWorld world;

  /** What contradicts a guarantee, each with its time in milliseconds. */
  final List<String> violations = new ArrayList<>();

  private final Map<Long, String> primaryByEpoch = new HashMap<>();
  private final Map<Long, Long> activeRevisionByIncarnation = new HashMap<>();
  private final Map<Long, Long> acknowledgedRevisionByBase = new HashMap<>();
  private final Set<Long> rejectedRevisions = new HashSet<>();
  private final Set<Long> sentRevisions = new HashSet<>();
  private long newestAcknowledged;
  private final Map<String, Execution> executions = new HashMap<>();

  /** When a configuration without the access key was acknowledged. */
  private final Map<String, Long> accessKeyRemovedMicros = new HashMap<>();

  private final List<Long> quotaRunMicros = new ArrayList<>();

  /** How many locks of idempotency keys were granted. */
  int keyGrants;

  /** How many configuration writes were acknowledged. */
  int acknowledgements;

  /** How many requests were admitted under an access key. */
  int accessKeyUses;

  InvariantChecker(SimulatedWorld world) {
    this.world = world;
  }

  private void addViolation(String description) {
    violations.add(world.now() / 1000 + " " + description);
  }

  /** Records that a process starts; it has no active configuration. */
  void processStarted(long incarnation) {
    activeRevisionByIncarnation.put(incarnation, 0L);
  }

  /** Records that a node takes itself for the primary: each epoch has one at most. */
  void primaryObserved(String node, long epoch) {
    String other = primaryByEpoch.putIfAbsent(epoch, node);
    if (other != null && !other.equals(node)) {
      addViolation("two primaries in epoch " + epoch + ": " + other + " and " + node);
    }
  }

  /** Records that a revision becomes active: revisions only grow, and only sent ones are used. */
  void configurationActivated(String node, long incarnation, long revision) {
    long before = activeRevisionByIncarnation.getOrDefault(incarnation, 0L);
    if (revision <= before) {
      addViolation(node + " went back from " + before + " to " + revision);
    }
    if (rejectedRevisions.contains(revision) || !sentRevisions.contains(revision)) {
      addViolation(node + " serves " + revision + ", which was rejected or never sent");
    }
    activeRevisionByIncarnation.put(incarnation, revision);
  }

  /** Records that an operator sends a configuration. */
  void writeSent(long revision) {
    sentRevisions.add(revision);
  }

  /** Records that a write is acknowledged: on each base revision at most one is. */
  void writeAcknowledged(long base, long revision) {
    acknowledgements++;
    Long other = acknowledgedRevisionByBase.putIfAbsent(base, revision);
    if (other != null && other != revision) {
      addViolation("two writes acknowledged on " + base + ": " + other + " and " + revision);
    }
    newestAcknowledged = Math.max(newestAcknowledged, revision);
  }

  /** Records that a write was rejected at the first attempt, so that it must never take effect. */
  void writeRejected(long revision) {
    rejectedRevisions.add(revision);
  }

  /**
   * Records what a read returns.
   *
   * @param acknowledgedBefore the newest revision that was acknowledged when the read was sent
   */
  void readReturned(long acknowledgedBefore, long revision) {
    if (revision < acknowledgedBefore) {
      addViolation("read " + revision + " after " + acknowledgedBefore + " was acknowledged");
    }
  }

  long newestAcknowledged() {
    return newestAcknowledged;
  }

  /** Records that a request with an idempotency key runs: each key runs once while it is kept. */
  void keyGranted(String key, String token) {
    keyGrants++;
    Execution before = executions.put(key, new Execution(token, world.now()));
    if (before != null
        && !before.token().equals(token)
        && world.now() - before.timeMicros() < KEY_RETENTION_MICROS) {
      addViolation("key " + key + " ran twice");
    }
  }

  /** Records that a request with an idempotency key was not executed after all. */
  void keyReleased(String key, String token) {
    Execution execution = executions.get(key);
    if (execution != null && execution.token().equals(token)) {
      executions.remove(key);
    }
  }

  /** The access key that the configuration of a revision adds. */
  static String accessKeyOf(long revision) {
    return "key-" + revision;
  }

  /**
   * Records that a configuration is acknowledged that has the access keys of its own revision and
   * of its base, and so removes all others.
   */
  void accessKeysReplaced(long base, long revision) {
    for (long old : acknowledgedRevisionByBase.values()) {
      if (old != base && old != revision) {
        accessKeyRemovedMicros.putIfAbsent(accessKeyOf(old), world.now());
      }
    }
  }

  /** Records that a node admits a request, sent at this moment, under an access key. */
  void accessKeyUsed(String node, String key, long revocationDelayMicros) {
    accessKeyUses++;
    Long removedMicros = accessKeyRemovedMicros.get(key);
    if (removedMicros != null && world.now() > removedMicros + revocationDelayMicros) {
      addViolation(
          node
              + " admitted a request under "
              + key
              + " "
              + (world.now() - removedMicros) / 1000
              + " ms after its removal");
    }
  }

  /** Records a request that counts against the quota of the tenant. */
  void quotaRunCounted() {
    quotaRunMicros.add(world.now());
  }

  int quotaRuns() {
    return quotaRunMicros.size();
  }

  /** What a tenant may run within any window of time. */
  record QuotaBound(
      double ratePerSecond, double burst, long windowMicros, double excess, double slack) {
    private double maxRuns() {
      double regular = ratePerSecond * windowMicros / MICROS_PER_SECOND + burst;
      return regular * (1 + excess) + slack;
    }
  }

  /** Checks every window that begins with a run. */
  void checkQuota(QuotaBound bound) {
    double maxRuns = bound.maxRuns();
    int first = 0;
    for (int last = 0; last < quotaRunMicros.size(); last++) {
      while (quotaRunMicros.get(last) - quotaRunMicros.get(first) > bound.windowMicros()) {
        first++;
      }
      int runs = last - first + 1;
      if (runs > maxRuns) {
        addViolation(
            "quota: "
                + runs
                + " runs up to "
                + quotaRunMicros.get(last) / 1000
                + ", allowed "
                + maxRuns);
        return;
      }
    }
  }
}
