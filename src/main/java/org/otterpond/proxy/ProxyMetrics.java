package org.otterpond.proxy;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the data path; the metrics page reads them. */
public final class ProxyMetrics {
  /** Requests received. */
  public final LongAdder requests = new LongAdder();

  /** Requests for which there is no route. */
  public final LongAdder unrouted = new LongAdder();

  /** Attempts sent to a worker. */
  public final LongAdder attempts = new LongAdder();

  /** Responses of workers passed on. */
  public final LongAdder responses = new LongAdder();

  /** Attempts that a worker rejected without executing them. */
  public final LongAdder rejectedByWorker = new LongAdder();

  /** Attempts that ended without a complete response. */
  public final LongAdder failedAttempts = new LongAdder();

  /** Attempts after the first. */
  public final LongAdder retries = new LongAdder();

  /** Attempts sent beside one that is still open. */
  public final LongAdder hedges = new LongAdder();

  /** Requests rejected without having been executed. */
  public final LongAdder rejected = new LongAdder();

  /** Requests that reached their deadline. */
  public final LongAdder timeouts = new LongAdder();

  /** Requests without a valid access key. */
  public final LongAdder unauthorized = new LongAdder();

  /** Requests rejected as the configuration was too old to trust its access keys. */
  public final LongAdder staleAccessKeys = new LongAdder();

  /** Requests beyond the quota of their tenant. */
  public final LongAdder overQuota = new LongAdder();

  /** Requests whose clients left before their responses were complete. */
  public final DepartureMetrics departures = new DepartureMetrics();

  /** Requests to workers in slow start. */
  public final SlowStartMetrics slowStart = new SlowStartMetrics();

  /** Repeated operations answered with the stored response. */
  public final LongAdder replays = new LongAdder();
}
