package org.otterpond.proxy;

/** Moving average of the response times of a service, as this node measures them. */
public final class LatencyAverage {
  private static final int WINDOW_RESPONSES = 64;

  /** From this number of responses on, outliers are limited. */
  private static final int LIMIT_FROM = WINDOW_RESPONSES / 4;

  /** A response counts as this many averages at most, so that a few slow workers do not skew it. */
  private static final double OUTLIER_LIMIT = 3;

  private double meanMicros;
  private int responses;

  /** Adds the response time of one request, in microseconds. */
  public void add(long latencyMicros) {
    double latency = latencyMicros;
    double counted =
        responses < LIMIT_FROM ? latency : Math.min(latency, OUTLIER_LIMIT * meanMicros);
    responses = Math.min(responses + 1, WINDOW_RESPONSES);
    meanMicros += (counted - meanMicros) / responses;
  }

  /** Returns the average in microseconds; 0 before the first response. */
  double meanMicros() {
    return meanMicros;
  }
}
