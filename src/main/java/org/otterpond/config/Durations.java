package org.otterpond.config;

/** Reads durations in the units of the files and converts them to microseconds. */
final class Durations {
  private static final long MICROS_PER_MILLISECOND = 1000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private Durations() {}

  /** Returns an optional duration of whole milliseconds. */
  static long millis(JsonFields fields, String name, long min, long max, long defaultMillis)
      throws ConfigException {
    return MICROS_PER_MILLISECOND * fields.whole(name, min, max, defaultMillis);
  }

  /** Returns a required duration of whole milliseconds. */
  static long millis(JsonFields fields, String name, long min, long max) throws ConfigException {
    return MICROS_PER_MILLISECOND * fields.whole(name, min, max);
  }

  /** Returns an optional duration of seconds, with fractions or without. */
  static long seconds(JsonFields fields, String name, double min, double defaultSeconds)
      throws ConfigException {
    return (long) (MICROS_PER_SECOND * fields.real(name, min, defaultSeconds));
  }
}
