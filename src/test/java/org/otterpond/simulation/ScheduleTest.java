package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The form of a printed schedule line. */
class ScheduleTest {
  private static final String LINE_OF_EARLIER_VERSION =
      "{\"seed\":1,\"core\":3,\"faults\":2,\"edge\":4,\"edgeFaults\":0,\"zones\":3,"
          + "\"width\":0,\"storm\":false,\"seconds\":30,\"entries\":[{\"kind\":\"HOLD\","
          + "\"atMillis\":1881,\"forMillis\":2470,\"machine\":\"n1:1\",\"chance\":807337}"
          + ",{\"kind\":\"ONE_WAY\",\"atMillis\":1979,\"forMillis\":114,\"machine\":\"d3:"
          + "1\",\"chance\":26819}]}";

  @Test
  void lineOfEarlierVersionIsReadAndPrintedUnchanged() {
    Schedule schedule = Schedule.parse(LINE_OF_EARLIER_VERSION);

    assertEquals(
        new Schedule(
            1,
            3,
            2,
            4,
            0,
            3,
            0,
            false,
            30,
            List.of(
                new Fault(Fault.Kind.HOLD, 1881, 2470, "n1:1", 807337),
                new Fault(Fault.Kind.ONE_WAY, 1979, 114, "d3:1", 26819))),
        schedule);
    assertEquals(LINE_OF_EARLIER_VERSION, schedule.line());
  }
}
