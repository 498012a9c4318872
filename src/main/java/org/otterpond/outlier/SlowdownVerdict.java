package org.otterpond.outlier;

import java.util.List;

/**
 * What the detector says of one service: the slow workers by their ids; none when the samples are
 * inconclusive.
 */
public record SlowdownVerdict(List<String> slow, int samples) {}
