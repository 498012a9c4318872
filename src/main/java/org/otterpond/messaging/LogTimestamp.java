package org.otterpond.messaging;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * A record of the segmented log that says when the records after it were written, by both clocks of
 * this machine.
 *
 * @param steadyMicros the monotonic clock, which may begin anew when the machine does
 * @param timeOfDayMicros the time of day, which may jump
 */
record LogTimestamp(long steadyMicros, long timeOfDayMicros) implements Encodable {
  /** The encoded kind. */
  static final String KIND = "clock";

  /**
   * The time of day may jump by seconds. Where the clocks differ by more, the monotonic one has
   * begun anew or stood still.
   */
  static final long MAX_CLOCK_JUMP_MICROS = 10_000_000;

  private static final String STEADY = "steady";
  private static final String TIME_OF_DAY = "day";

  /** Reads both clocks. */
  static LogTimestamp now(NodeRuntime runtime) {
    return new LogTimestamp(runtime.now(), runtime.timeOfDayMicros());
  }

  /**
   * Reads a timestamp.
   *
   * @throws ProtocolException if a required field is missing
   */
  static LogTimestamp of(WireRecord encoded) throws ProtocolException {
    return new LogTimestamp(encoded.requiredNumber(STEADY), encoded.requiredNumber(TIME_OF_DAY));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(STEADY, steadyMicros).with(TIME_OF_DAY, timeOfDayMicros);
  }

  /**
   * Returns how much time has passed since this timestamp, by the monotonic clock if that agrees
   * with the time of day, else by the time of day; never a negative number.
   *
   * @param present a later timestamp of this machine
   */
  long elapsedMicros(LogTimestamp present) {
    long steady = present.steadyMicros - steadyMicros;
    long timeOfDay = present.timeOfDayMicros - timeOfDayMicros;
    boolean clocksAgree = Math.abs(steady - timeOfDay) <= MAX_CLOCK_JUMP_MICROS;
    return Math.max(0, steady >= 0 && clocksAgree ? steady : timeOfDay);
  }
}
