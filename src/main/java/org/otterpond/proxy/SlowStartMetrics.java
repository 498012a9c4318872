package org.otterpond.proxy;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the requests to workers in slow start. */
public final class SlowStartMetrics {
  /** Requests sent to workers in slow start. */
  public final LongAdder requests = new LongAdder();

  /** Requests sent to a worker in slow start beyond this node's share of what it bears. */
  public final LongAdder violations = new LongAdder();
}
