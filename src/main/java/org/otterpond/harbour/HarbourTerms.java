package org.otterpond.harbour;

/**
 * What the deployment demands of the control side.
 *
 * @param faults how many disks may be lost at once
 */
public record HarbourTerms(long heartbeatMicros, long keyWindowMicros, int faults, QuotaTerms quota) {}
