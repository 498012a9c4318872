package org.otterpond.cargo;

import org.otterpond.harbour.Vessel;
import org.otterpond.quay.TenderPool;

/** One worker as this node's data path sees it. */
final class Hull {
    private static final long SUSPECT_AFTER = 350_000;

    Vessel vessel;
    final TenderPool pool;
    int inFlight;
    private long quietSince;
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

    void worked(long now) {
        failuresInRow = 0;
        shunUntil = 0;
        quietSince = now;
    }

    void took(long now) {
        if (inFlight++ == 0) {
            quietSince = now;
        }
    }

    long quietSince() {
        return quietSince;
    }

    /** Whether it has had work for so long without giving any answer that others are better tried first. */
    boolean suspect(long now) {
        return inFlight > 0 && now - quietSince > SUSPECT_AFTER;
    }
}
