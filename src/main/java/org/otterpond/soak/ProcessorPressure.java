package org.otterpond.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Measures for how long tasks of this machine have waited for a processor, from the kernel's
 * pressure figures. Bounds on real time are extended by what was measured, so that a machine with
 * more work than processors is not taken for a slow gateway; on an idle machine they stay as they
 * are.
 */
final class ProcessorPressure {
  private static final Path SOURCE = Path.of("/proc/pressure/cpu");
  private static final String TOTAL = "total=";
  private static final long SAMPLE_MILLIS = 20;
  private static final long NANOS_PER_MICRO = 1_000;

  /** The waiting time since the machine's start, in nanoseconds, by the time of the sample. */
  private final ConcurrentSkipListMap<Long, Long> samples = new ConcurrentSkipListMap<>();

  private volatile boolean stopped;

  /** Begins to sample, where the machine has such figures. */
  void start() {
    if (Files.isReadable(SOURCE)) {
      SoakThreads.start("pressure", this::sample);
    }
  }

  void stop() {
    stopped = true;
  }

  private void sample() {
    try {
      while (!stopped) {
        samples.put(System.nanoTime(), readTotalNanos());
        Thread.sleep(SAMPLE_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // No further samples: the bounds stay as they are.
    }
  }

  /** Reads the first line, which counts the time in which at least one task waited. */
  private static long readTotalNanos() throws IOException {
    String line = Files.readString(SOURCE, StandardCharsets.US_ASCII).split("\n", 2)[0];
    String total = line.substring(line.indexOf(TOTAL) + TOTAL.length());
    return NANOS_PER_MICRO * Long.parseLong(total.trim());
  }

  /** Returns the share of the sampled time in which at least one task waited. */
  double share() {
    Map.Entry<Long, Long> first = samples.firstEntry();
    Map.Entry<Long, Long> last = samples.lastEntry();
    return first == null || last.getKey().equals(first.getKey())
        ? 0
        : (double) (last.getValue() - first.getValue()) / (last.getKey() - first.getKey());
  }

  /** Returns for how long between two moments at least one task waited; 0 without figures. */
  long waitedNanos(long fromNanos, long toNanos) {
    Map.Entry<Long, Long> first = samples.floorEntry(fromNanos);
    Map.Entry<Long, Long> last = samples.ceilingEntry(toNanos);
    return first == null || last == null ? 0 : last.getValue() - first.getValue();
  }
}
