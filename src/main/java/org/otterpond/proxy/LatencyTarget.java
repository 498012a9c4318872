package org.otterpond.proxy;

import org.otterpond.config.Route;

/** The latency target of routes. */
final class LatencyTarget {
  /** The target of a route whose configuration gives none. */
  static final long DEFAULT_MICROS = 400_000;

  private LatencyTarget() {}

  static long micros(Route route) {
    return route.latencyTargetMicros() > 0 ? route.latencyTargetMicros() : DEFAULT_MICROS;
  }
}
