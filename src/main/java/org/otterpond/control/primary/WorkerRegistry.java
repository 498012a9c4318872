package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/**
 * The primary's table of worker instances, kept from heartbeats and from what nodes report after a
 * takeover. Each change gets the next version.
 */
final class WorkerRegistry {
  /** An instance that has ended is kept this long, so that late heartbeats do not revive it. */
  private static final long ENDED_RETENTION_MICROS = 60_000_000;

  /** An instance is lost after this many heartbeats are missing. */
  private static final double MISSING_HEARTBEATS = 3.5;

  /** The time-out is longer by this factor while most instances of a service are silent. */
  private static final int MOST_SILENT_FACTOR = 4;

  /** A new instance replaces one at its address that is silent for this part of the time-out. */
  private static final int REPLACEMENT_DIVISOR = 3;

  private final long timeoutMicros;
  private final SlowStartNodes slowStartNodes;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version;
  private long resetAtMicros;
  private long checksum;
  private long checksumVersion = -1;

  /** The instances whose slow start has not been seen to end, by id. */
  private final Map<String, Entry> slowStarts = new LinkedHashMap<>();

  /** Chooses the nodes that may send requests to a worker in slow start. */
  interface SlowStartNodes {
    /**
     * Returns the nodes for a worker.
     *
     * @param replaceMissing whether nodes without a lease lose their place
     */
    List<String> select(WorkerInstance worker, boolean replaceMissing);
  }

  private static final class Entry {
    private WorkerInstance worker;
    private long version;
    private long heardAtMicros;

    boolean isAlive() {
      return worker.state().compareTo(WorkerState.LOST) < 0;
    }
  }

  /** How many instances of a service are alive, and how many of them are silent. */
  private static final class ServiceCount {
    private int alive;
    private int silent;

    boolean mostAreSilent() {
      return silent * 2 > alive;
    }
  }

  /**
   * Creates an empty registry.
   *
   * @param heartbeatMicros time between the heartbeats of a worker
   */
  WorkerRegistry(long heartbeatMicros, SlowStartNodes slowStartNodes) {
    this.timeoutMicros = (long) (heartbeatMicros * MISSING_HEARTBEATS);
    this.slowStartNodes = slowStartNodes;
  }

  /** Removes all instances and begins with the first version. */
  void reset(long nowMicros) {
    entries.clear();
    slowStarts.clear();
    version = 1;
    resetAtMicros = nowMicros;
  }

  /** Returns the version of the newest change. */
  long version() {
    return version;
  }

  /** Returns a checksum over the instances alive; tables with the same checksum are equal. */
  long checksum() {
    if (checksumVersion != version) {
      checksum = 0;
      entries.values().forEach(entry -> checksum += entry.worker.checksum());
      checksumVersion = version;
    }
    return checksum;
  }

  /** Returns an instance, or null if it is not known. */
  WorkerInstance get(String id) {
    Entry entry = entries.get(id);
    return entry == null ? null : entry.worker;
  }

  /** Takes a heartbeat or a reported state; returns whether the table changed. */
  boolean update(WorkerInstance received, long nowMicros) {
    Entry entry = entries.get(received.id());
    if (entry == null) {
      if (received.state() == WorkerState.IN_SERVICE) {
        endReplaced(received, nowMicros);
      }
      entry = new Entry();
      entries.put(received.id(), entry);
    }
    WorkerInstance merged = entry.worker == null ? received : entry.worker.merge(received);
    if (!merged.equals(entry.worker)) {
      entry.heardAtMicros = nowMicros;
    }
    if (merged.inSlowStart(nowMicros)) {
      slowStarts.put(merged.id(), entry);
      merged = withSlowStartNodes(merged, nowMicros);
    }
    boolean changed = merged.changesRoutingOf(entry.worker);
    entry.worker = merged;
    if (changed) {
      entry.version = ++version;
    }
    return changed;
  }

  private WorkerInstance withSlowStartNodes(WorkerInstance worker, long nowMicros) {
    List<String> nodes = slowStartNodes.select(worker, earlierLeasesEnded(nowMicros));
    return nodes.equals(worker.slowStartNodes()) ? worker : worker.withSlowStartNodes(nodes);
  }

  /** Whether no node can still use a lease of the primary before this one. */
  private boolean earlierLeasesEnded(long nowMicros) {
    return nowMicros - resetAtMicros > ControlPlaneSettings.NODE_LEASE_MICROS;
  }

  /**
   * Gives the places of nodes whose leases have ended, among those that may send to instances in
   * slow start, to others, and notes which slow starts have ended.
   *
   * @return the instances that changed; only those still in slow start concern the nodes
   */
  List<WorkerInstance> refreshSlowStarts(long nowMicros) {
    List<WorkerInstance> changed = new ArrayList<>();
    Iterator<Entry> all = slowStarts.values().iterator();
    while (all.hasNext()) {
      Entry entry = all.next();
      if (!entry.worker.inSlowStart(nowMicros)) {
        all.remove();
        entry.worker = entry.worker.withSlowStartEnd(0);
        changed.add(entry.worker);
        continue;
      }
      WorkerInstance refreshed = withSlowStartNodes(entry.worker, nowMicros);
      if (!refreshed.equals(entry.worker)) {
        entry.worker = refreshed;
        entry.version = ++version;
        changed.add(refreshed);
      }
    }
    return changed;
  }

  /** Marks another instance at the address of a new one as lost. */
  private void endReplaced(WorkerInstance replacement, long nowMicros) {
    for (Entry entry : entries.values()) {
      if (entry.worker.address().equals(replacement.address())
          && entry.isAlive()
          && nowMicros - entry.heardAtMicros > timeoutMicros / REPLACEMENT_DIVISOR) {
        markLost(entry);
      }
    }
  }

  private void markLost(Entry entry) {
    entry.worker = entry.worker.in(WorkerState.LOST);
    entry.version = ++version;
  }

  /** Whether another instance is alive at the address of one that ended, whose process is over. */
  boolean isReplaced(WorkerInstance ended) {
    return entries.values().stream()
        .anyMatch(
            entry ->
                entry.worker.address().equals(ended.address())
                    && !entry.worker.id().equals(ended.id())
                    && entry.isAlive());
  }

  /**
   * Marks silent instances as lost. While most instances of a service are silent the time-out is
   * longer, as the cause is likely not theirs.
   *
   * @return the instances that were lost
   */
  List<WorkerInstance> expire(long nowMicros) {
    Map<String, ServiceCount> counts = countByService(nowMicros);
    List<WorkerInstance> lost = new ArrayList<>();
    Iterator<Entry> all = entries.values().iterator();
    while (all.hasNext()) {
      Entry entry = all.next();
      if (!entry.isAlive()) {
        if (nowMicros - entry.heardAtMicros > ENDED_RETENTION_MICROS) {
          all.remove();
        }
      } else if (isTimedOut(entry, counts.get(entry.worker.service()), nowMicros)) {
        markLost(entry);
        lost.add(entry.worker);
      }
    }
    return lost;
  }

  private Map<String, ServiceCount> countByService(long nowMicros) {
    Map<String, ServiceCount> counts = new HashMap<>();
    for (Entry entry : entries.values()) {
      if (entry.isAlive()) {
        ServiceCount count =
            counts.computeIfAbsent(entry.worker.service(), service -> new ServiceCount());
        count.alive++;
        count.silent += nowMicros - entry.heardAtMicros > timeoutMicros ? 1 : 0;
      }
    }
    return counts;
  }

  private boolean isTimedOut(Entry entry, ServiceCount count, long nowMicros) {
    long timeout = count.mostAreSilent() ? timeoutMicros * MOST_SILENT_FACTOR : timeoutMicros;
    return nowMicros - entry.heardAtMicros > timeout && nowMicros - resetAtMicros > timeoutMicros;
  }

  /** Returns the instances that changed after a version; all of them for version 0. */
  List<WorkerInstance> newerThan(long knownVersion) {
    List<WorkerInstance> newer = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.version > knownVersion) {
        newer.add(entry.worker);
      }
    }
    return newer;
  }
}
