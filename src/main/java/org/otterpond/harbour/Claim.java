package org.otterpond.harbour;

import org.otterpond.signal.Flag;

/** What the ledger holds of one operation key. */
final class Claim {
    final String token;
    /** Monotonic time at which this node came to know the claim; its window runs from here. */
    final long since;
    /** The first run's whole answer, or null. */
    Flag answer;
    /** True once the run ended without a known outcome. */
    boolean unknown;

    Claim(String token, long since) {
        this.token = token;
        this.since = since;
    }
}
