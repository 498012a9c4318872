package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Which contents stay in memory. */
class MessageBodyCacheTest {
  private final MessageBodyCache cache = new MessageBodyCache(5_000);
  private final Message first = Messages.accepted("0.1", null, null, 1);
  private final Message second = Messages.accepted("0.2", null, null, 2);

  @Test
  void givenFullCache_whenAnotherIsPut_thenTheOldestIsRemoved() {
    cache.put(first, Messages.content(2_000));
    cache.put(second, Messages.content(2_000));
    assertNull(first.cachedContent);
    assertNotNull(second.cachedContent);
  }

  @Test
  void givenRemovedMessage_whenAnotherIsPut_thenItsBytesAreFree() {
    cache.put(first, Messages.content(2_000));
    cache.remove(first);
    cache.put(second, Messages.content(3_000));
    assertNotNull(second.cachedContent);
  }
}
