package org.otterpond.lookout;

import java.util.List;

/**
 * What the detector says of one service: the slow workers by their ids; none when the samples are
 * inconclusive.
 */
public record Verdict(List<String> slow, int samples) {}
