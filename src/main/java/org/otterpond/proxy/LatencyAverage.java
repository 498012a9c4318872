package org.otterpond.proxy;

/**
 * How long a service usually takes to answer, as this node sees it: a moving mean over its latest
 * answers.
 */
public final class LatencyAverage {
  private static final int MEMORY = 64;

  /**
   * A long answer counts as this many usual ones at most, so that a few slow workers do not pass
   * for the usual.
   */
  private static final double LONGEST = 3;

  private double mean;
  private int seen;

  public void answered(long micros) {
    double counted = seen < MEMORY / 4 ? micros : Math.min(micros, LONGEST * mean);
    seen = Math.min(seen + 1, MEMORY);
    mean += (counted - mean) / seen;
  }

  /** In microseconds; 0 as long as nothing has been answered. */
  double usual() {
    return mean;
  }
}
