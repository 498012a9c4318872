package org.otterpond.control.primary;

import org.otterpond.control.message.FleetSummary;
import org.otterpond.control.message.PollingNode;

/**
 * The digests of the two parts of the fleet, nodes with and without a message store, made anew when
 * the membership has changed.
 */
final class FleetDigests {
  private final NodeLeaseTable leases;
  private FleetDigest gateways;
  private FleetDigest stores;

  FleetDigests(NodeLeaseTable leases) {
    this.leases = leases;
  }

  /** Returns the summary of the part of the fleet that a node belongs to. */
  FleetSummary summaryFor(String address, PollingNode node) {
    long version = leases.membershipVersion();
    if (gateways == null || gateways.version() != version) {
      gateways = FleetDigest.of(version, leases.nodes(other -> !other.storesMessages()));
      stores = FleetDigest.of(version, leases.nodes(PollingNode::storesMessages));
    }
    return (node.storesMessages() ? stores : gateways).summaryFor(node.zone(), address);
  }
}
