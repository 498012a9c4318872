package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.simulation.SimulatedLink.DelayedMessage;

/** What becomes of messages that a link has buffered. */
class SimulatedLinkTest {
  @Test
  void shortInterruptionDeliversAllInOrderBeforeLaterMessages() {
    SimulatedLink<Integer> link = new SimulatedLink<>();
    link.startBuffering(0);
    long firstSequence = link.nextSequence();
    link.buffer(link.nextSequence(), 2, 10);
    link.buffer(firstSequence, 1, 20);

    List<DelayedMessage<Integer>> delayed = link.stopBuffering(500_000, new Random(1));

    assertEquals(List.of(1, 2), delayed.stream().map(DelayedMessage::message).toList());
    assertTrue(link.arrivalMicros(500_000, 1) > 500_000 + delayed.get(1).delayMicros());
    assertFalse(link.wasReset());
  }

  @Test
  void longInterruptionDeliversPrefixOfOldConnectionOrNothing() {
    boolean deliveredPart = false;
    boolean reset = false;
    for (long seed = 0; seed < 40; seed++) {
      SimulatedLink<Integer> link = new SimulatedLink<>();
      link.startBuffering(0);
      for (int message = 1; message <= 3; message++) {
        link.buffer(link.nextSequence(), message, message);
      }
      link.buffer(link.nextSequence(), 9, 1_500_000);

      List<Integer> delivered =
          link.stopBuffering(9_000_000, new Random(seed * 1_000_003)).stream()
              .map(DelayedMessage::message)
              .toList();

      assertEquals(
          List.of(1, 2, 3).subList(0, delivered.size()),
          delivered,
          "the connection that was opened during the interruption is abandoned too");
      assertTrue(!link.wasReset() || delivered.isEmpty());
      deliveredPart |= delivered.size() == 1 || delivered.size() == 2;
      reset |= link.wasReset();
    }
    assertTrue(deliveredPart && reset);
  }
}
