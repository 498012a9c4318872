package org.otterpond.quay;

import org.otterpond.chart.Limits;

/** Serves the calls of one listening point. */
public interface CallHandler {
  void handle(Call call);

  default Limits limits() {
    return Limits.standard();
  }

  /** Whether answers should ask clients to go elsewhere. */
  default boolean leaving() {
    return false;
  }
}
