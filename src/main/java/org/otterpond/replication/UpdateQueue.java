package org.otterpond.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.otterpond.protocol.WireRecord;

/** Updates that wait for the group to serve, and listeners of those that wait for their commit. */
final class UpdateQueue {
  private final LocalReplica replica;
  private final ArrayDeque<Update> queued = new ArrayDeque<>();
  private final TreeMap<Long, UpdateListener> uncommitted = new TreeMap<>();

  /**
   * An update of the state.
   *
   * @param needsAllReplicas whether it must wait until the group has as many replicas as wanted
   * @param listener gets its outcome
   */
  record Update(WireRecord entry, boolean needsAllReplicas, UpdateListener listener) {}

  UpdateQueue(LocalReplica replica) {
    this.replica = replica;
  }

  int size() {
    return queued.size();
  }

  boolean isEmpty() {
    return queued.isEmpty();
  }

  void add(Update update) {
    queued.addLast(update);
  }

  /**
   * Inserts the queued updates into the prepared list, in their order.
   *
   * @param includeFullReplication whether updates that need all replicas are admitted too
   * @param onDurable run when an entry is durable on this replica
   */
  void admit(boolean includeFullReplication, Runnable onDurable) {
    PreparedList preparedList = replica.preparedList();
    int count = queued.size();
    for (int i = 0; i < count; i++) {
      Update update = queued.pollFirst();
      if (update.needsAllReplicas() && !includeFullReplication) {
        queued.addLast(update);
        continue;
      }
      long version = replica.configuration().version();
      preparedList.insert(update.entry(), version, onDurable, replica::onWriteFailed);
      uncommitted.put(preparedList.lastSerial(), update.listener());
    }
  }

  /** Runs the callbacks of the entries after a serial number that are committed now. */
  void onCommitted(long afterSerial) {
    for (long s = afterSerial + 1; s <= replica.preparedList().committedPoint(); s++) {
      UpdateListener listener = uncommitted.remove(s);
      if (listener != null) {
        listener.committed();
      }
    }
  }

  /** Ends all updates: the queued ones are rejected, the outcome of the prepared ones is open. */
  void endAll() {
    List<UpdateListener> prepared = new ArrayList<>(uncommitted.values());
    uncommitted.clear();
    List<Update> rejected = new ArrayList<>(queued);
    queued.clear();
    prepared.forEach(UpdateListener::undecided);
    rejected.forEach(update -> update.listener().rejected());
  }
}
