package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.otterpond.runtime.NodeRuntime;

/**
 * Acknowledges workers that drain or have ended: once their state is committed, and every node with
 * a lease has it or a time-out has passed.
 */
final class DrainAcknowledgements {
  private static final long TIMEOUT_MICROS = 800_000;

  /** This long after the start of an epoch every connected node has polled the new primary. */
  private static final long ALL_POLLED_MICROS = 400_000;

  private final NodeRuntime runtime;
  private final LongSupplier smallestKnownVersion;
  private final List<Drain> drains = new ArrayList<>();
  private long beganAtMicros;

  private static final class Drain {
    private final long tableVersion;
    private final long deadlineMicros;
    private final Runnable acknowledge;
    private boolean committed;

    Drain(long tableVersion, long deadlineMicros, Runnable acknowledge) {
      this.tableVersion = tableVersion;
      this.deadlineMicros = deadlineMicros;
      this.acknowledge = acknowledge;
    }
  }

  /**
   * Creates the acknowledgements, none pending.
   *
   * @param smallestKnownVersion the version of the worker table that every node with a lease has
   */
  DrainAcknowledgements(NodeRuntime runtime, LongSupplier smallestKnownVersion) {
    this.runtime = runtime;
    this.smallestKnownVersion = smallestKnownVersion;
  }

  /** Begins an epoch without pending acknowledgements. */
  void began() {
    beganAtMicros = runtime.now();
    drains.clear();
  }

  /** Forgets the pending acknowledgements. */
  void clear() {
    drains.clear();
  }

  /**
   * Awaits that all nodes know a worker's state.
   *
   * @param tableVersion the version of the worker table that has the state
   * @param acknowledge sends the acknowledgement
   * @return to be run once the state is committed
   */
  Runnable await(long tableVersion, Runnable acknowledge) {
    Drain drain = new Drain(tableVersion, runtime.now() + TIMEOUT_MICROS, acknowledge);
    drains.add(drain);
    return () -> {
      drain.committed = true;
      sendDue();
    };
  }

  /** Sends the acknowledgements that are due. */
  void sendDue() {
    if (drains.isEmpty()) {
      return;
    }
    long knownVersion = smallestKnownVersion.getAsLong();
    List<Drain> due = drains.stream().filter(drain -> isDue(drain, knownVersion)).toList();
    drains.removeAll(due);
    due.forEach(drain -> drain.acknowledge.run());
  }

  private boolean isDue(Drain drain, long knownVersion) {
    long now = runtime.now();
    boolean knownEverywhere =
        drain.tableVersion <= knownVersion && now - beganAtMicros > ALL_POLLED_MICROS;
    return drain.committed && (knownEverywhere || now > drain.deadlineMicros);
  }
}
