package org.otterpond.tools;

import java.util.List;
import java.util.Locale;

/**
 * The measurements of one step of a scale run.
 *
 * @param nodes hollow nodes
 * @param workers workers of all nodes
 * @param seconds how long was measured
 * @param load the load in that time
 * @param coreCpuSeconds the processor seconds of each core node in that time
 * @param corePeakMebibytes the largest peak of resident memory of a core node
 * @param spreadMicros how long the new configuration took to the last node
 */
record ScaleStep(
    int nodes,
    int workers,
    double seconds,
    LoadTotals load,
    List<Double> coreCpuSeconds,
    double corePeakMebibytes,
    long spreadMicros) {
  private static final double MICROS_PER_MILLI = 1_000;

  /** The headings of the columns of {@link #row()}. */
  static String header() {
    return String.format(
        Locale.ROOT,
        "%6s %8s %9s %10s %10s %9s %10s %10s %10s %10s %9s %9s %9s",
        "nodes",
        "workers",
        "claims/s",
        "primary%",
        "others%",
        "peak MB",
        "node msg/s",
        "node B/s",
        "news ms",
        "grants/s",
        "claim ms",
        "again/s",
        "again ms");
  }

  /** The measurements as one line of a table. */
  String row() {
    return String.format(
        Locale.ROOT,
        "%6d %8d %9.0f %10.2f %10.2f %9.0f %10.2f %10.0f %10.0f %10.0f %9.2f %9.0f %9.2f",
        nodes,
        workers,
        load.locksGranted() / seconds,
        busiestPercent(),
        othersMeanPercent(),
        corePeakMebibytes,
        load.messages() / seconds / nodes,
        load.bytes() / seconds / nodes,
        spreadMicros / MICROS_PER_MILLI,
        load.workerRequests() / seconds,
        load.meanLockMillis(),
        load.locksHeld() / seconds,
        load.meanHeldMillis());
  }

  /** The processor use of the busiest core node, the primary, in per cent of a processor. */
  private double busiestPercent() {
    return 100 * coreCpuSeconds.stream().mapToDouble(cpu -> cpu).max().orElse(0) / seconds;
  }

  private double othersMeanPercent() {
    int others = coreCpuSeconds.size() - 1;
    double totalPercent = 100 * coreCpuSeconds.stream().mapToDouble(cpu -> cpu).sum() / seconds;
    return others > 0 ? (totalPercent - busiestPercent()) / others : 0;
  }
}
