package org.otterpond.keyrange;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * The ranges of one service for the operators.
 *
 * @param ranges number of ranges
 * @param owners number of workers that own ranges
 * @param byState number of ranges by state; a missing state counts 0
 * @param greatestFence the greatest fencing token of all services
 */
public record KeyRangeStatus(
    String service, int ranges, int owners, Map<KeyRangeState, Integer> byState, long greatestFence)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "keys";

  /** Counts the leases of a service. */
  static KeyRangeStatus of(String service, Collection<KeyRangeLease> leases, long greatestFence) {
    Map<KeyRangeState, Integer> byState = new EnumMap<>(KeyRangeState.class);
    leases.forEach(lease -> byState.merge(lease.state, 1, Integer::sum));
    int owners = (int) leases.stream().map(lease -> lease.owner).distinct().count();
    return new KeyRangeStatus(service, leases.size(), owners, byState, greatestFence);
  }

  private int count(KeyRangeState state) {
    return byState.getOrDefault(state, 0);
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with("service", service)
        .with("ranges", ranges)
        .with("owners", owners)
        .with("held", count(KeyRangeState.HELD))
        .with("granting", count(KeyRangeState.GRANTING))
        .with("releasing", count(KeyRangeState.RELEASING))
        .with("expiring", count(KeyRangeState.EXPIRING))
        .with("fence", greatestFence);
  }
}
