package org.otterpond.cargo;

/**
 * What one node may spend on second attempts at one service. A request earns the ratio, the purse holds a small cap
 * and begins empty. Over any window a node spends at most the cap plus the ratio times its own requests there, so the
 * members' sum stays within ratio x requests + slack as long as members x cap is at most the slack.
 */
final class RetryPurse {
    private double tokens;

    void earn(double ratio, double cap) {
        tokens = Math.min(cap, tokens + ratio);
    }

    boolean spend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
