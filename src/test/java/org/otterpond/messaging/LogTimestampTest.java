package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.protocol.ProtocolException;

/** How much time has passed between two timestamps of one machine. */
class LogTimestampTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final LogTimestamp WRITTEN =
      new LogTimestamp(500 * SECOND_MICROS, 9_000 * SECOND_MICROS);

  @ParameterizedTest(name = "{3}")
  @CsvSource({
    "540, 9040, 40, the clocks agree",
    "540, 9043, 40, the time of day has jumped forward",
    "540, 9036, 40, the time of day has jumped back",
    "502, 8995, 2, the time of day has jumped back behind the timestamp",
    "3, 9040, 40, the machine was started again",
    "3, 8998, 0, the machine was started again and the time of day jumped back",
    "502, 12600, 3600, the machine was suspended for an hour",
    "900, 9040, 40, the machine was started again and runs longer than before"
  })
  void givenTwoTimestamps_whenCompared_thenElapsedTimeIsThatOfTheTrustedClock(
      long steadySeconds, long timeOfDaySeconds, long elapsedSeconds, String name) {
    LogTimestamp present =
        new LogTimestamp(steadySeconds * SECOND_MICROS, timeOfDaySeconds * SECOND_MICROS);

    assertEquals(elapsedSeconds * SECOND_MICROS, WRITTEN.elapsedMicros(present));
  }

  @Test
  void givenTimestamp_whenEncoded_thenItIsReadBackUnchanged() throws ProtocolException {
    assertEquals(WRITTEN, LogTimestamp.of(WRITTEN.toWireRecord()));
  }
}
