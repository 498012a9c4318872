package org.otterpond.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;

/** Updates that wait for the group to serve, and callbacks of those that wait for their commit. */
final class UpdateQueue {
  private final LocalReplica replica;
  private final ArrayDeque<Update> queued = new ArrayDeque<>();
  private final Map<Long, Runnable> uncommitted = new HashMap<>();

  /**
   * An update of the state.
   *
   * @param needsAllReplicas whether it must wait until the group has as many replicas as wanted
   * @param onCommitted run once it is committed
   * @param onRejected run if it was not prepared and will not be
   */
  record Update(
      WireRecord entry, boolean needsAllReplicas, Runnable onCommitted, Runnable onRejected) {}

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
      uncommitted.put(preparedList.lastSerial(), update.onCommitted());
    }
  }

  /** Runs the callbacks of the entries after a serial number that are committed now. */
  void onCommitted(long afterSerial) {
    for (long s = afterSerial + 1; s <= replica.preparedList().committedPoint(); s++) {
      Runnable onCommitted = uncommitted.remove(s);
      if (onCommitted != null) {
        onCommitted.run();
      }
    }
  }

  /** Rejects the queued updates. What is prepared may still be committed by the next primary. */
  void rejectAll() {
    uncommitted.clear();
    List<Update> rejected = new ArrayList<>(queued);
    queued.clear();
    rejected.forEach(update -> update.onRejected().run());
  }
}
