package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SegmentAgesTest {
  private static final long RETENTION_MICROS = 100;

  private final SegmentAges ages = new SegmentAges();

  @Test
  void givenSegmentsClosedOneAfterAnother_whenOldestIsRemoved_thenNextHasItsOwnAge() {
    ages.update(1, 1, 0);
    ages.update(1, 2, 10);
    ages.update(1, 3, 30);
    assertFalse(ages.isOldestClosedFor(RETENTION_MICROS, 110));
    assertTrue(ages.isOldestClosedFor(RETENTION_MICROS, 111));

    ages.update(2, 3, 120);

    assertFalse(ages.isOldestClosedFor(RETENTION_MICROS, 130));
    assertTrue(ages.isOldestClosedFor(RETENTION_MICROS, 131));
  }

  @Test
  void givenOneSegment_whenTimePasses_thenItIsNotClosed() {
    ages.update(4, 4, 0);

    assertFalse(ages.isOldestClosedFor(RETENTION_MICROS, 1_000));
  }

  @Test
  void givenSegmentsOfAnEarlierProcess_whenOpened_thenTheyCountFromNow() {
    ages.update(2, 5, 50);

    assertFalse(ages.isOldestClosedFor(RETENTION_MICROS, 150));
    assertTrue(ages.isOldestClosedFor(RETENTION_MICROS, 151));
  }
}
