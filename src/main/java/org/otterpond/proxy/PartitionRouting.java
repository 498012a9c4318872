package org.otterpond.proxy;

import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeState;
import org.otterpond.keyrange.KeyRangeTable;

/** Finds the worker of a partitioned service that holds the lease on a key's range. */
final class PartitionRouting {
  private final ServiceEndpoints service;
  private final KeyRangeTable ranges;

  /** How long after the start of its drain a worker may still get requests for its keys. */
  private final long maxDrainMicros;

  PartitionRouting(ServiceEndpoints service, KeyRangeTable ranges, long maxDrainMicros) {
    this.service = service;
    this.ranges = ranges;
    this.maxDrainMicros = maxDrainMicros;
  }

  /** Returns the owner of a key, or null if there is none or it can take no request now. */
  WorkerEndpoint select(long nowMicros, int partitionKey) {
    KeyRange range = ranges.at(service.name(), partitionKey);
    if (range == null || range.state() != KeyRangeState.HELD) {
      return null;
    }
    WorkerEndpoint owner = service.endpoint(range.owner());
    if (owner == null
        || owner.avoided(nowMicros)
        || owner.inFlight() >= owner.maxInFlight()
        || !owner.slowStartPermits(nowMicros)
        || owner.drainingLongerThan(maxDrainMicros, nowMicros)) {
      return null;
    }
    return owner;
  }

  /** Returns whether a range is owned or on its way to a new owner, which takes a moment only. */
  boolean ownerExpectedSoon(int partitionKey) {
    KeyRange range = ranges.at(service.name(), partitionKey);
    return range != null && range.state() != KeyRangeState.EXPIRING;
  }
}
