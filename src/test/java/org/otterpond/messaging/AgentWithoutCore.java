package org.otterpond.messaging;

import java.util.List;
import java.util.Map;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/** The control plane of a node that finds no core: no proposal of its store is answered. */
final class AgentWithoutCore {
  private static final long KEY_WINDOW_MICROS = 30_000_000;

  private AgentWithoutCore() {}

  static ControlPlaneAgent create(NodeRuntime runtime, String address, String disk) {
    NodeIdentity self =
        new NodeIdentity(address, "store", "z", null, false, false, List.of(), 1, disk);
    ControlPlaneSettings settings =
        new ControlPlaneSettings(
            1_500_000,
            KEY_WINDOW_MICROS,
            FaultTolerance.ofMachines(0),
            new QuotaSettings(5_000_000, 0.1, 20, 2_000_000));
    return new ControlPlaneAgent(runtime, self, new NoDataPlane(), settings);
  }

  private static final class NoDataPlane implements DataPlane {
    @Override
    public void configured(GatewayConfiguration configuration) {
      // Nothing is routed here.
    }

    @Override
    public void worker(WorkerInstance worker) {
      // Nothing is routed here.
    }

    @Override
    public void fleet(Map<String, Integer> nodesInZone, int rank) {
      // Nothing is routed here.
    }

    @Override
    public WireRecord outcome(String key, String token) {
      return null;
    }
  }
}
