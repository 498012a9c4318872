package org.otterpond.config;

/**
 * A service that a route may choose.
 *
 * @param service name of the service
 * @param weight its share of the requests, relative to the weights of the other targets
 */
public record RouteTarget(String service, long weight) {}
