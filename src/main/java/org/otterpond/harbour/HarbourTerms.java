package org.otterpond.harbour;

import org.otterpond.keys.HoldTerms;

/**
 * What the deployment demands of the control side.
 *
 * @param faults how many disks may be lost at once
 * @param zoneFaults how many zones
 */
public record HarbourTerms(long heartbeatMicros, long keyWindowMicros, int faults, QuotaTerms quota, HoldTerms hold,
        int zoneFaults) {
    /** Where no service is divided by keys. */
    public HarbourTerms(long heartbeatMicros, long keyWindowMicros, int faults, QuotaTerms quota) {
        this(heartbeatMicros, keyWindowMicros, faults, quota, HoldTerms.of(10_000_000, 300_000), 0);
    }

    /** Tokens are used for a little less long than the owner counts them as out. */
    static final long LENT_MARGIN = 50_000;
}
