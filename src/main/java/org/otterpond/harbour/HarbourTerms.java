package org.otterpond.harbour;

/**
 * What the deployment demands of the control side.
 *
 * @param faults how many disks may be lost at once
 */
public record HarbourTerms(long heartbeatMicros, long keyWindowMicros, int faults, QuotaTerms quota) {
    /** Tokens are used for a little less long than the owner counts them as out. */
    static final long LENT_MARGIN = 50_000;
}
