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
  private final TreeMap<Long, Update> uncommitted = new TreeMap<>();

  /** Listeners of what is committed, but not on as many replicas as wanted. */
  private final List<UpdateListener> awaitingReplicas = new ArrayList<>();

  /**
   * An update of the state.
   *
   * @param needsAllReplicas whether it must wait until the group is fully replicated
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
      uncommitted.put(preparedList.lastSerial(), update);
    }
  }

  /**
   * Runs the callbacks of the entries after a serial number that are committed now. An update that
   * needs all replicas may have been admitted before one of them left the group.
   */
  void onCommitted(long afterSerial) {
    for (long s = afterSerial + 1; s <= replica.preparedList().committedPoint(); s++) {
      Update update = uncommitted.remove(s);
      if (update != null && update.needsAllReplicas()) {
        awaitingReplicas.add(update.listener());
      } else if (update != null) {
        update.listener().committed();
      }
    }
  }

  /** Adds a listener to be notified once what is committed is on as many replicas as wanted. */
  void awaitReplicas(UpdateListener listener) {
    awaitingReplicas.add(listener);
  }

  /** Notifies the listeners that waited for replicas: there are enough of them. */
  void onFullyReplicated() {
    List<UpdateListener> listeners = new ArrayList<>(awaitingReplicas);
    awaitingReplicas.clear();
    listeners.forEach(UpdateListener::committed);
  }

  /** Ends all updates: the queued ones are rejected, the outcome of the prepared ones is open. */
  void endAll() {
    List<UpdateListener> prepared = new ArrayList<>(awaitingReplicas);
    uncommitted.values().forEach(update -> prepared.add(update.listener()));
    awaitingReplicas.clear();
    uncommitted.clear();
    List<Update> rejected = new ArrayList<>(queued);
    queued.clear();
    prepared.forEach(UpdateListener::undecided);
    rejected.forEach(update -> update.listener().rejected());
  }
}
