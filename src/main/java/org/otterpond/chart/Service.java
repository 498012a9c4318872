package org.otterpond.chart;

/** One service that workers register for. */
public record Service(String name, String healthPath, int maxConnections, boolean dedupCapable) {}
