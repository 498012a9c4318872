package org.otterpond.control.primary;

import java.util.List;
import java.util.function.Consumer;
import org.otterpond.control.message.AcknowledgedReply;
import org.otterpond.control.message.HeartbeatBatchRequest;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.message.WorkerStateRequest;
import org.otterpond.control.state.WorkerEntry;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.runtime.NodeRuntime;

/**
 * Takes what nodes report of workers into the registry. Each change is sent to the nodes, and
 * written to the replicated log so that it survives the loss of all processes.
 */
final class WorkerReportHandler {
  private final NodeRuntime runtime;
  private final WorkerRegistry registry;
  private final DrainAcknowledgements drains;
  private final Core core;

  /** What the handler needs of the core. */
  interface Core {
    /** Writes an entry to the replicated log. */
    StateWriter writer();

    /** Proves that this node is the primary, by a message of its own. */
    LeadershipConfirmation proof();

    /** Proves the same by the next message that is sent anyway. */
    LeadershipConfirmation laterProof();

    /** Informs the nodes soon of changed workers. */
    void workersChanged();
  }

  WorkerReportHandler(
      NodeRuntime runtime, WorkerRegistry registry, DrainAcknowledgements drains, Core core) {
    this.runtime = runtime;
    this.registry = registry;
    this.drains = drains;
    this.core = core;
  }

  /** Takes reported workers. */
  void report(List<WorkerReport> workers) {
    workers.forEach(worker -> update(worker.worker(runtime.now())));
  }

  /** Handles forwarded heartbeats; the forwarding node repeats them to a new primary. */
  void heartbeats(HeartbeatBatchRequest request, Consumer<PrimaryReply> reply) {
    report(request.workers());
    core.laterProof().confirmed(reply).accept(new AcknowledgedReply());
  }

  /** Handles the state of one worker; that it drains or has ended is acknowledged by all nodes. */
  void workerState(WorkerStateRequest request, Consumer<PrimaryReply> reply) {
    WorkerInstance worker = request.worker().worker(runtime.now());
    update(worker);
    if (worker.state() == WorkerState.IN_SERVICE) {
      core.proof().confirmed(reply).accept(new AcknowledgedReply());
      return;
    }
    // Written again though it may be known: the acknowledgement requires a commit of its own.
    Runnable committed =
        drains.await(registry.version(), () -> reply.accept(new AcknowledgedReply()));
    write(registry.get(worker.id()), committed);
  }

  /** Marks silent workers as lost. */
  void expire() {
    List<WorkerInstance> lost = registry.expire(runtime.now());
    for (WorkerInstance worker : lost) {
      runtime.event("event=worker_lost instance=" + worker.id() + " service=" + worker.service());
      write(worker, () -> {});
    }
    if (!lost.isEmpty()) {
      core.workersChanged();
    }
  }

  /**
   * Replaces nodes without a lease among those that may send to workers in slow start, and records
   * the end of slow starts: after a loss of all processes they would begin anew.
   */
  void refreshSlowStarts() {
    long knownVersion = registry.version();
    registry.refreshSlowStarts(runtime.now()).forEach(worker -> write(worker, () -> {}));
    if (registry.version() > knownVersion) {
      core.workersChanged();
    }
  }

  private void update(WorkerInstance worker) {
    if (registry.update(worker, runtime.now())) {
      core.workersChanged();
      write(registry.get(worker.id()), () -> {});
    }
  }

  private void write(WorkerInstance worker, Runnable committed) {
    core.writer().propose(WorkerEntry.of(worker, runtime.now()).toWireRecord(), committed);
  }
}
