package org.otterpond.outlier;

import java.util.List;

/**
 * The result of {@link SlowWorkerDetector} for one service.
 *
 * @param slow ids of the slow workers, sorted; none if the samples are inconclusive
 * @param samples number of samples in the window
 */
public record SlowdownVerdict(List<String> slow, int samples) {}
