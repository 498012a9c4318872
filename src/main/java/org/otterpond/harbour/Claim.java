package org.otterpond.harbour;

/** What the ledger holds of one operation key. */
final class Claim {
    final String token;
    /** Monotonic time at which this node came to know the claim; its window runs from here. */
    final long since;
    /** The node that holds the first run's answer, or null. */
    String holder;
    /** True once the run ended without a known outcome. */
    boolean unknown;

    Claim(String token, long since) {
        this.token = token;
        this.since = since;
    }
}
