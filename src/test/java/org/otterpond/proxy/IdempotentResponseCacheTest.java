package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Which outcomes are still there for repeats. */
class IdempotentResponseCacheTest {
  private static final long RETENTION_MICROS = 1_000;
  private static final long MAX_BYTES = 3_000;

  private final IdempotentResponseCache cache =
      new IdempotentResponseCache(RETENTION_MICROS, MAX_BYTES);

  private static RunOutcome response(int bodyBytes) {
    return new RunOutcome.StoredResponse(200, new byte[bodyBytes], "seal", null);
  }

  @Test
  void givenStoredOutcome_whenAskedUnderAnotherToken_thenThereIsNone() {
    cache.put("key", "first", response(10), 0);

    assertNotNull(cache.get("key", "first"));
    assertNull(cache.get("key", "second"));
  }

  @Test
  void givenOldOutcome_whenAnotherIsStored_thenTheOldOneIsDropped() {
    cache.put("old", "t", response(10), 0);
    cache.put("new", "t", response(10), RETENTION_MICROS + 1);

    assertNull(cache.get("old", "t"));
    assertNotNull(cache.get("new", "t"));
  }

  @Test
  void givenFullCache_whenAnotherIsStored_thenTheOldestGoesFirst() {
    cache.put("a", "t", response(1_000), 0);
    cache.put("b", "t", response(1_000), 1);
    cache.put("a", "t", response(1_000), 2);
    cache.put("c", "t", response(1_000), 3);

    assertNull(cache.get("b", "t"));
    assertNotNull(cache.get("a", "t"));
    assertNotNull(cache.get("c", "t"));
  }
}
