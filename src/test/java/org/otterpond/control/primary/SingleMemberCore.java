package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.epoch.EpochListener;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.KnownVersions;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.PollReports;
import org.otterpond.control.message.PollingNode;
import org.otterpond.control.message.PrimaryRequest;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.WireRecord;

/** A core of one member on a simulated runtime, of which this node is the primary. */
final class SingleMemberCore implements EpochListener, DataPlane {
  static final CoreMember SELF = new CoreMember("disk-1", "m1:1", "m1", "z1");
  private static final long TICK_MICROS = 100_000;

  final ManualRuntime runtime = new ManualRuntime();
  final EpochReplica replica;
  final PrimaryServices services;
  final List<WireRecord> replies = new ArrayList<>();

  SingleMemberCore() {
    FaultTolerance faults = FaultTolerance.ofMachines(0);
    replica =
        new EpochReplica(
            runtime, EpochTimeouts.standard(), this, SELF, new ReplicatedState(60_000_000), faults);
    QuotaSettings quotas = new QuotaSettings(5_000_000, 0.1, 20, 2_000_000);
    services =
        new PrimaryServices(
            runtime,
            replica,
            SELF,
            this,
            new ControlPlaneSettings(1_000_000, 60_000_000, faults, quotas));
    replica.acceptFirstRecord(new EpochRecord("fleet-1", 1, SELF, List.of(), List.of(SELF), 1));
    tick();
    runtime.run(3_000_000);
  }

  private void tick() {
    replica.tick();
    services.tick();
    runtime.after(TICK_MICROS, this::tick);
  }

  static NodePoll poll(String name, long incarnation, KnownVersions known) {
    return new NodePoll(
        new PollingNode(name + ":1", name, "z1", null, incarnation, null),
        known,
        1,
        true,
        PollReports.NONE);
  }

  /** Passes a request to the services and returns the replies that arrive within a second. */
  List<WireRecord> ask(PrimaryRequest request) {
    replies.clear();
    services.serve(request.toWireRecord(), replies::add);
    runtime.run(1_000_000);
    return replies;
  }

  @Override
  public void began(EpochRecord record, boolean continued) {
    services.began(continued, ParsedConfiguration.NONE);
  }

  @Override
  public void steppedDown() {
    services.steppedDown();
  }

  @Override
  public void onRecordLearned(EpochRecord record) {
    // There is no agent.
  }

  @Override
  public void configured(GatewayConfiguration configuration) {
    // There is no data path.
  }

  @Override
  public void worker(WorkerInstance worker) {
    // There is no data path.
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // There is no data path.
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }
}
