package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.messaging.message.MessageState;

/** Counts and look-ups of the messages of a partition. */
class MessageIndexTest {
  private static final String OPERATION = "tenant\noperation";

  private final MessageIndex index = new MessageIndex();

  private void end(Message message, long atMicros) {
    message.state = MessageState.DEAD_LETTER;
    message.endedAtMicros = atMicros;
    index.ended(message);
  }

  @Test
  void givenTwoMessagesOfOneOperation_whenLookedUp_thenTheFirstIsFound() {
    Message first = Messages.accepted("0.1", null, "operation", 1);
    index.add(first);
    index.add(Messages.accepted("0.2", null, "operation", 2));
    assertSame(first, index.ofOperation(OPERATION));
    assertEquals(2, index.queuedCount());
  }

  @Test
  void givenEndedMessage_whenItsRetentionIsOver_thenItIsRemovedEverywhere() {
    Message message = Messages.accepted("0.1", null, "operation", 1);
    index.add(message);
    end(message, 50);
    assertEquals(1, index.deadCount());
    assertEquals(List.of(), index.removeEndedBefore(50));

    assertEquals(List.of(message), index.removeEndedBefore(51));

    assertNull(index.get("0.1"));
    assertNull(index.ofOperation(OPERATION));
    assertEquals(0, index.deadCount());
  }

  @Test
  void givenQueuedMessages_whenTheOldestIsNotDue_thenTheNextCounts() {
    Message delayed = Messages.accepted("0.1", null, null, 1);
    delayed.dueAtMicros = 1_000;
    Message due = Messages.accepted("0.2", null, null, 2);
    due.dueAtMicros = 200;
    index.add(delayed);
    index.add(due);
    assertEquals(100, index.oldestWaitMicros(300));
  }
}
