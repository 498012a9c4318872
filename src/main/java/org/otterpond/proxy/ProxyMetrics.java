package org.otterpond.proxy;

import java.util.concurrent.atomic.LongAdder;

/** Counts of the data path; the metrics page reads them. */
public final class ProxyMetrics {
  public final LongAdder requests = new LongAdder();
  public final LongAdder unrouted = new LongAdder();
  public final LongAdder forwarded = new LongAdder();
  public final LongAdder answered = new LongAdder();
  public final LongAdder turnedAway = new LongAdder();
  public final LongAdder failures = new LongAdder();
  public final LongAdder retries = new LongAdder();
  public final LongAdder hedges = new LongAdder();
  public final LongAdder refused = new LongAdder();
  public final LongAdder timeouts = new LongAdder();
  public final LongAdder unauthorised = new LongAdder();
  public final LongAdder stale = new LongAdder();
  public final LongAdder overQuota = new LongAdder();
  public final LongAdder replays = new LongAdder();
}
