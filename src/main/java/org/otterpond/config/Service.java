package org.otterpond.config;

/**
 * A service: workers that register for it, or one fixed endpoint.
 *
 * @param name the name
 * @param healthPath path of the health check
 * @param maxConnections most connections of a node to one worker
 * @param dedupCapable whether its workers recognize a retry by its idempotency key
 * @param ratePerSecond rate limit of the service; 0 means none
 * @param fixedEndpoint {@code address:port} of the only endpoint; null if workers register
 * @param partitioned whether key ranges are leased to its workers
 * @param warmupMicros the time in which a new owner of a key range warms up; 0 means none
 * @param slowStart the slow start of its workers
 */
public record Service(
    String name,
    String healthPath,
    int maxConnections,
    boolean dedupCapable,
    double ratePerSecond,
    String fixedEndpoint,
    boolean partitioned,
    long warmupMicros,
    SlowStart slowStart) {}
