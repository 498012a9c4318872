package org.otterpond.cargo;

import org.otterpond.harbour.Vessel;
import org.otterpond.quay.TenderPool;

/** One worker as this node's data path sees it. */
final class Hull {
    Vessel vessel;
    final TenderPool pool;
    int inFlight;
    long picked;
    long shunUntil;
    int failuresInRow;
    /** Lowered while the slow-worker flag stands. */
    double weight = 1.0;

    Hull(Vessel vessel, TenderPool pool) {
        this.vessel = vessel;
        this.pool = pool;
    }

    String id() {
        return vessel.id();
    }

    /** A connection that failed: keep away for a little, longer each time. */
    void failed(long now) {
        failuresInRow = Math.min(failuresInRow + 1, 6);
        shunUntil = now + (100_000L << failuresInRow);
    }

    void worked() {
        failuresInRow = 0;
        shunUntil = 0;
    }
}
