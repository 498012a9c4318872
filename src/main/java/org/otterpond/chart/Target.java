package org.otterpond.chart;

/** A service that a route may choose, and its weight. */
public record Target(String service, long weight) {}
