package org.otterpond.lookout;

/** What the detector says of one service: the slow worker, or null when the samples are inconclusive. */
public record Verdict(String slow, int samples) {}
