package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.runtime.NodeRuntime;

/**
 * The worker instances that this node knows, merged from heartbeats received here and from the
 * primary's table. An instance that has ended is kept as a tombstone for a while, so that a late
 * heartbeat does not bring it back. Used by the owner thread only.
 */
final class WorkerRoster {
  private static final long TOMBSTONE_MICROS = 30_000_000;

  private final NodeRuntime runtime;
  private final Consumer<WorkerInstance> onChange;
  private final Map<String, WorkerInstance> workers = new LinkedHashMap<>();
  private final Map<String, Long> endedAt = new HashMap<>();
  private final Map<String, WorkerInstance> unreported = new LinkedHashMap<>();

  /**
   * Creates an empty roster.
   *
   * @param onChange called with each new instance and each change that matters to routing
   */
  WorkerRoster(NodeRuntime runtime, Consumer<WorkerInstance> onChange) {
    this.runtime = runtime;
    this.onChange = onChange;
  }

  /** The newest state known of an instance, or null. */
  WorkerInstance get(String id) {
    return workers.get(id);
  }

  /**
   * Merges what is known of one instance with the primary's table, which decides on the nodes for
   * its slow start.
   */
  void mergeFromPrimary(WorkerInstance update) {
    WorkerInstance known = workers.get(update.id());
    if (known == null || update.slowStartNodes().isEmpty()) {
      merge(update);
    } else {
      merge(known, known.withSlowStartNodes(update.slowStartNodes()).merge(update));
    }
  }

  /**
   * Merges what is known of one instance with a heartbeat.
   *
   * @return whether it is a new instance or has changed in what matters to routing
   */
  boolean merge(WorkerInstance update) {
    WorkerInstance known = workers.get(update.id());
    return merge(known, known == null ? update : known.merge(update));
  }

  private boolean merge(WorkerInstance previous, WorkerInstance merged) {
    if (merged.equals(previous)) {
      return false;
    }
    workers.put(merged.id(), merged);
    if (hasEnded(merged)) {
      endedAt.put(merged.id(), runtime.now());
    } else {
      endedAt.remove(merged.id());
    }
    boolean changed = merged.changesRoutingOf(previous);
    if (changed) {
      onChange.accept(merged);
    }
    return changed;
  }

  /** A checksum of the roster; it equals the primary's if both know the same workers. */
  long checksum() {
    long sum = 0;
    for (WorkerInstance worker : workers.values()) {
      sum += worker.checksum();
    }
    return sum;
  }

  /** Marks for the next report each instance of which this node knows more than the primary. */
  void compareWith(Map<String, WorkerInstance> primaryTable) {
    long now = runtime.now();
    for (WorkerInstance known : workers.values()) {
      WorkerInstance own = known.withoutEndedSlowStart(now);
      WorkerInstance other = primaryTable.get(own.id());
      if (own.changesRoutingOf(other) && (other != null || !hasEnded(own))) {
        unreported.put(own.id(), own);
      }
    }
  }

  /** Returns the instances to report to the primary, and marks them as reported. */
  List<WorkerInstance> takeUnreported() {
    List<WorkerInstance> reports = new ArrayList<>(unreported.values());
    unreported.clear();
    return reports;
  }

  /** Forgets the instances that ended longer ago than {@link #TOMBSTONE_MICROS}. */
  void removeTombstones(long now) {
    endedAt
        .entrySet()
        .removeIf(
            ended -> {
              boolean expired = now - ended.getValue() > TOMBSTONE_MICROS;
              if (expired) {
                workers.remove(ended.getKey());
              }
              return expired;
            });
  }

  private static boolean hasEnded(WorkerInstance worker) {
    return worker.state().compareTo(WorkerState.LOST) >= 0;
  }
}
