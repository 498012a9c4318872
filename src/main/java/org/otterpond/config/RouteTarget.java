package org.otterpond.config;

/** A service that a route may choose, and its weight. */
public record RouteTarget(String service, long weight) {}
