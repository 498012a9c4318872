package org.otterpond.config;

/**
 * The slow start of the workers of a service.
 *
 * @param durationMicros how long it takes; each worker says itself how much of it is left
 * @param requestsPerSecond how many requests a second a worker bears meanwhile; 0 means that
 *     nothing is said of it, and nothing is limited
 */
public record SlowStart(long durationMicros, double requestsPerSecond) {}
