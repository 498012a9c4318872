package org.otterpond.config;

/**
 * One service that workers register for, or that is one endpoint at a fixed address (null if it is
 * not). A rate of 0 means that it may get as much as there is.
 */
public record Service(
    String name,
    String healthPath,
    int maxConnections,
    boolean dedupCapable,
    double ratePerSecond,
    String fixedEndpoint,
    boolean partitioned,
    long warmupMicros) {}
