package org.otterpond.quay;

import org.otterpond.chart.Limits;

/** Serves the calls of one listening point. */
public interface CallHandler {
    void handle(Call call);

    Limits limits();

    /** Whether answers should ask clients to go elsewhere. */
    boolean leaving();
}
