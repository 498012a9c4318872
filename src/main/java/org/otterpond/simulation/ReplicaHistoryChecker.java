package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the history of one replica group whose state is a register: all replicas apply one order
 * of updates, a query sees what was acknowledged before, and nothing acknowledged is lost.
 */
final class ReplicaHistoryChecker {
  /** The newest updates may be in flight when the end is judged. */
  private static final long UNJUDGED_UPDATES = 50;

  private final SimulatedWorld world;

  /** What contradicts a guarantee, each with its time in milliseconds. */
  final List<String> violations = new ArrayList<>();

  /**
   * Whether disks are lost while other replicas are down. Updates that were committed but not
   * acknowledged may then be lost, and their serial numbers are used again.
   */
  boolean mayLoseUnacknowledged;

  /** The value that was applied first under each serial number, by whichever replica. */
  private final Map<Long, Long> valueBySerial = new TreeMap<>();

  private final Set<Long> acknowledged = new HashSet<>();
  private long newestAcknowledged;
  private int queries;

  ReplicaHistoryChecker(SimulatedWorld world) {
    this.world = world;
  }

  int acknowledgedUpdates() {
    return acknowledged.size();
  }

  int queries() {
    return queries;
  }

  long newestAcknowledged() {
    return newestAcknowledged;
  }

  void addViolation(String description) {
    violations.add(world.now() / 1000 + " " + description);
  }

  void applied(String replica, long serial, long value) {
    Long first = valueBySerial.putIfAbsent(serial, value);
    boolean differs = first != null && first != value;
    if (differs && mayLoseUnacknowledged && !acknowledged.contains(first)) {
      valueBySerial.put(serial, value);
    } else if (differs) {
      addViolation("serial " + serial + " is " + first + " and, at " + replica + ", " + value);
    }
  }

  void acknowledged(long value) {
    acknowledged.add(value);
    newestAcknowledged = Math.max(newestAcknowledged, value);
  }

  /**
   * A serving replica answers a query.
   *
   * @param newestBefore the newest acknowledged value when the query was sent
   */
  void queried(String replica, List<Long> state, long newestBefore) {
    queries++;
    long newest = state.stream().mapToLong(Long::longValue).max().orElse(0);
    if (newest < newestAcknowledged && newest < newestBefore) {
      addViolation(replica + " reads " + newest + " though " + newestBefore + " was acknowledged");
    }
  }

  void servingAtOnce(long replicas) {
    if (replicas > 1) {
      addViolation("two primaries serve");
    }
  }

  /** A member of the configuration in force has this state in the end. */
  void settled(String replica, Collection<Long> state, long lastWritten) {
    Set<Long> present = new HashSet<>(state);
    long lost =
        acknowledged.stream()
            .filter(value -> value < lastWritten - UNJUDGED_UPDATES && !present.contains(value))
            .count();
    if (lost > 0) {
      addViolation(replica + " lacks " + lost + " acknowledged updates");
    }
  }
}
