package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that a node takes late in its shutdown and breaks off (review/3). By the
 * operators' rules one that was sent over 3 s after the signal is never broken off before its
 * deadline, and none before the last sixth of the grace period.
 */
class ShutdownTimesTest {
  private static final long SIGNAL = 1_000_000_000;
  private static final long EXCUSED_MICROS = 3_000_000;

  @ParameterizedTest
  @ValueSource(longs = {1_000_000, 2_000_000, 3_500_000, 6_000_000, 10_000_000, 30_000_000})
  void givenAnyGrace_whenRequestIsSentOverThreeSecondsAfterSignal_thenItEndsBeforeTheNode(
      long graceMicros) {
    ShutdownTimes times = ShutdownTimes.of(SIGNAL, graceMicros);

    for (long sent = EXCUSED_MICROS + 1; sent < graceMicros; sent += 50_000) {
      for (long left = 100_000; left < 40_000_000; left *= 2) {
        if (times.admits(SIGNAL + sent, left)) {
          assertTrue(SIGNAL + sent + left <= times.endAtMicros(), sent + " " + left);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {600_000, 1_000_000, 2_000_000, 3_500_000, 6_000_000, 10_000_000})
  void givenAnyGrace_whenItBegins_thenNothingIsBrokenOffBeforeItsLastSixth(long graceMicros) {
    ShutdownTimes times = ShutdownTimes.of(SIGNAL, graceMicros);

    assertTrue(times.endAtMicros() - SIGNAL >= graceMicros * 5 / 6);
    assertTrue(times.endAtMicros() - SIGNAL < graceMicros);
  }

  @Test
  void givenSixSecondsOfGrace_whenLongRequestsArrive_thenOnlyEarlyOnesAreTaken() {
    ShutdownTimes times = ShutdownTimes.of(SIGNAL, 6_000_000);

    assertTrue(times.admits(SIGNAL + 2_700_000, 5_000_000));
    assertFalse(times.admits(SIGNAL + 2_900_000, 5_000_000));
  }

  @Test
  void givenSixSecondsOfGrace_whenShortRequestsArriveLate_thenTheyAreTakenWhileTheyEndInTime() {
    ShutdownTimes times = ShutdownTimes.of(SIGNAL, 6_000_000);

    assertTrue(times.admits(SIGNAL + 4_000_000, 1_000_000));
    assertFalse(times.admits(SIGNAL + 4_200_000, 1_000_000));
  }

  @Test
  void givenShortGrace_whenItIsNearlyOver_thenLongRequestsAreNotTaken() {
    ShutdownTimes times = ShutdownTimes.of(SIGNAL, 2_000_000);

    assertTrue(times.admits(SIGNAL + 500_000, 5_000_000));
    assertFalse(times.admits(SIGNAL + 1_000_000, 5_000_000));
    assertEquals(SIGNAL + 1_666_667, times.endAtMicros());
  }
}
