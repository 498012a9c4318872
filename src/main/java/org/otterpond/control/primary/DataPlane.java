package org.otterpond.control.primary;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.protocol.WireRecord;

/** The data plane, as the control side sees it: it is handed news. */
public interface DataPlane {
  void configured(GatewayConfiguration configuration);

  void worker(WorkerInstance worker);

  /** How many nodes hold a lease in each zone, and this node's place among those of its own. */
  void fleet(Map<String, Integer> nodesInZone, int rank);

  /** An assignment that the core has written, newer than the one told before under its key. */
  default void assigned(WireRecord entry) {
    // A node that neither routes by them nor holds any has no use for them.
  }

  /**
   * A message that is none of the control side's; whoever sent it waits for the reply if it takes
   * one.
   */
  default void message(String from, WireRecord message, Consumer<WireRecord> reply) {
    // Nothing here takes any.
  }

  /**
   * How often keys of divided services were asked for here since the last time; goes with the next
   * poll.
   */
  default List<WireRecord> heat() {
    return List.of();
  }

  /** What a machine that stores messages tells of itself with its polls; null if this is none. */
  default WireRecord figures() {
    return null;
  }

  /** Calls a worker for the keeper of the key ranges. */
  default void callWorker(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<KeyRangeRuntime.Answer> answer) {
    answer.accept(new KeyRangeRuntime.Answer(0, null, false));
  }

  /** The connection to a node is gone. */
  default void peerLost(String address) {
    // Only those that hold copies together look after each other.
  }

  /**
   * How the run of that claim went, as this node knows: "answer" with the answer kept, "working",
   * "unknown" if it may have run without a known outcome; null if nothing is known of it.
   */
  WireRecord outcome(String key, String token);
}
