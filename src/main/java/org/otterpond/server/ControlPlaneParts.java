package org.otterpond.server;

import java.io.IOException;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.keyrange.KeyRangeLeaseSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;

/** Creates the parts of the control plane that gateway nodes and storage nodes have in common. */
final class ControlPlaneParts {
  private ControlPlaneParts() {}

  /** Returns the settings of the control plane. */
  static ControlPlaneSettings settings(NodeSettings settings) {
    return new ControlPlaneSettings(
        settings.heartbeatMicros(),
        settings.keyWindowMicros(),
        new FaultTolerance(
            settings.faults(),
            settings.toleratedZones(),
            settings.toleratedRegions(),
            settings.regionOf()),
        new QuotaSettings(
            settings.quotaWindowMicros(),
            settings.quotaExcess(),
            settings.quotaSlack(),
            EpochTimeouts.standard().lent(),
            settings.ceilingWindowMicros(),
            settings.ceilingExcess() - 1),
        KeyRangeLeaseSettings.of(settings.holdMicros(), settings.thawMicros()));
  }

  /** Returns the transport between nodes, which delivers what it receives to the agent. */
  static PeerTransport transport(
      EventLoop eventLoop, NodeSettings settings, ControlPlaneAgent agent) throws IOException {
    return new PeerTransport(
        eventLoop, settings.internalAddress(), agent::onMessage, agent::peerLost);
  }
}
