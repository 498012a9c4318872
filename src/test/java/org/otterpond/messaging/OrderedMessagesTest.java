package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which message of an ordering key is first. */
class OrderedMessagesTest {
  private final OrderedMessages ordered = new OrderedMessages();

  @Test
  void givenMessagesOfOneKey_whenTheFirstIsRemoved_thenTheNextIsFirst() {
    Message first = Messages.accepted("0.1", "key", null, 1);
    Message second = Messages.accepted("0.2", "key", null, 2);
    ordered.add(first);
    ordered.add(second);
    assertTrue(ordered.isFirst(first));
    assertFalse(ordered.isFirst(second));

    assertSame(second, ordered.removeAndPeek(first));
    assertNull(ordered.removeAndPeek(second));
  }

  @Test
  void givenEarlierMessageAddedLater_whenCompared_thenTheOrderOfAcceptanceCounts() {
    Message later = Messages.accepted("0.2", "key", null, 2);
    Message earlier = Messages.accepted("0.1", "key", null, 1);
    ordered.add(later);
    ordered.add(earlier);
    assertTrue(ordered.isFirst(earlier));
  }

  @Test
  void givenMessagesOfTwoKeys_whenCompared_thenEachKeyHasItsFirst() {
    Message one = Messages.accepted("0.1", "one", null, 1);
    Message two = Messages.accepted("0.2", "two", null, 2);
    ordered.add(one);
    ordered.add(two);
    assertTrue(ordered.isFirst(one) && ordered.isFirst(two));
  }
}
