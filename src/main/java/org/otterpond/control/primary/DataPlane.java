package org.otterpond.control.primary;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.protocol.WireRecord;

/**
 * The data plane of a node as the control plane sees it: it takes updates, and answers what only
 * the data plane knows. All calls are made on the owner thread.
 */
public interface DataPlane {
  /** Takes the configuration that is in force from now on. */
  void configured(GatewayConfiguration configuration);

  /** Takes the changed state of a worker instance. */
  void worker(WorkerInstance worker);

  /**
   * Takes the size of the fleet.
   *
   * @param nodesInZone number of nodes with a lease in each zone
   * @param rank position of this node among those of its zone, from 0
   */
  void fleet(Map<String, Integer> nodesInZone, int rank);

  /** Takes a committed assignment, newer than the one before under its key. */
  default void assigned(WireRecord entry) {
    // A node that neither routes by assignments nor is assigned anything has no use for them.
  }

  /**
   * Takes a message that the control plane does not handle.
   *
   * @param from address of the sender
   * @param reply sends a reply to a message that requires one
   */
  default void message(String from, WireRecord message, Consumer<WireRecord> reply) {
    // A node without message store or replica groups handles none.
  }

  /**
   * Returns and resets the number of requests by key of partitioned services, which are reported
   * with the next poll.
   */
  default List<WireRecord> takeKeyLoads() {
    return List.of();
  }

  /** Returns the figures of this node's message store, or null if it has none. */
  default WireRecord figures() {
    return null;
  }

  /**
   * Calls a worker for the key range manager.
   *
   * @param timeout micros until the call is given up
   * @param answer gets the answer, with status 0 if there was none
   */
  default void callWorker(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<KeyRangeRuntime.Answer> answer) {
    answer.accept(new KeyRangeRuntime.Answer(0, null, false));
  }

  /** Notes that the connection to a node was closed. */
  default void peerLost(String address) {
    // Only the members of replica groups monitor each other.
  }

  /**
   * Returns the outcome of an execution under the lock of an idempotency key.
   *
   * @param token identity of the attempt that held the lock
   * @return a record of the kind "answer" with the stored response, "working" while it is executed,
   *     "unrun" if it was not executed, "unknown" if its outcome is not known; null if nothing is
   *     known of the attempt
   */
  WireRecord outcome(String key, String token);
}
