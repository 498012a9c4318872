package org.otterpond.control.primary;

import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.HeartbeatBatchRequest;
import org.otterpond.control.message.WorkerStateRequest;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.runtime.NodeRuntime;

/** The services for workers: registry, reports and drain acknowledgements. */
final class WorkerServices {
  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final WorkerRegistry registry;
  private final CompressedWorkerTable table;
  private final DrainAcknowledgements drains;
  private final WorkerReportHandler reports;

  /**
   * Creates the services.
   *
   * @param heartbeatMicros time between the heartbeats of a worker
   * @param onChange runs whenever a worker changed
   */
  WorkerServices(
      NodeRuntime runtime,
      EpochReplica replica,
      NodeLeaseTable leases,
      long heartbeatMicros,
      Runnable onChange) {
    this.runtime = runtime;
    this.replica = replica;
    registry = new WorkerRegistry(heartbeatMicros, new SlowStartNodeSelector(leases)::select);
    table = new CompressedWorkerTable(runtime, registry);
    drains = new DrainAcknowledgements(runtime, leases::smallestWorkerTableVersion);
    reports = new WorkerReportHandler(runtime, registry, drains, new ReportCore(replica, onChange));
  }

  /** The core as the handler of reports sees it. */
  private record ReportCore(EpochReplica replica, Runnable onChange)
      implements WorkerReportHandler.Core {
    @Override
    public StateWriter writer() {
      return replica::propose;
    }

    @Override
    public LeadershipConfirmation proof() {
      return replica::confirm;
    }

    @Override
    public LeadershipConfirmation laterProof() {
      return replica::confirmLater;
    }

    @Override
    public void workersChanged() {
      onChange.run();
    }
  }

  /** Sets the handlers of the services' requests. */
  void registerWith(RequestDispatcher dispatcher) {
    dispatcher.register(WorkerStateRequest.class, reports::workerState);
    dispatcher.register(HeartbeatBatchRequest.class, reports::heartbeats);
  }

  /** Begins an epoch with the workers of the replicated state. */
  void began() {
    long now = runtime.now();
    registry.reset(now);
    table.reset();
    replica
        .hold()
        .workers()
        .forEach(worker -> registry.update(WorkerInstance.of(worker, now), now));
    drains.began();
  }

  /** Forgets the pending acknowledgements, as this node is not the primary any more. */
  void steppedDown() {
    drains.clear();
  }

  /** Does what is due. */
  void tick() {
    reports.expire();
    reports.refreshSlowStarts();
    drains.sendDue();
  }

  WorkerRegistry registry() {
    return registry;
  }

  CompressedWorkerTable table() {
    return table;
  }

  DrainAcknowledgements drains() {
    return drains;
  }

  WorkerReportHandler reports() {
    return reports;
  }
}
