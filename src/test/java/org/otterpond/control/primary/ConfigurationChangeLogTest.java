package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.ConfigurationChange;

class ConfigurationChangeLogTest {
  private static final CompressedBytes CHANGE = CompressedBytes.of(new byte[10]);

  private final ConfigurationChangeLog log = new ConfigurationChangeLog();

  private List<Long> revisions(long from, long to, long maxBytes) {
    return log.between(from, to, maxBytes).stream().map(ConfigurationChange::revision).toList();
  }

  @Test
  void givenConsecutiveChanges_whenAskedFor_thenThePathIsReturned() {
    log.add(1, 3, CHANGE);
    log.add(3, 4, CHANGE);
    assertEquals(List.of(3L, 4L), revisions(1, 4, 100));
    assertEquals(List.of(4L), revisions(3, 4, 100));
    assertEquals(List.of(), revisions(2, 4, 100), "unknown base");
    assertEquals(List.of(), revisions(1, 4, 20), "too long");
    assertEquals(List.of(), revisions(0, 4, 100), "nothing to be changed");
  }

  @Test
  void givenChangeToAnotherBase_whenAdded_thenOlderOnesAreRemoved() {
    log.add(1, 3, CHANGE);
    log.add(5, 6, CHANGE);
    assertEquals(List.of(), revisions(1, 3, 100));
    assertEquals(List.of(6L), revisions(5, 6, 100));
  }

  @Test
  void givenManyChanges_whenAdded_thenTheOldestAreRemoved() {
    for (int i = 1; i <= 33; i++) {
      log.add(i, i + 1, CHANGE);
    }
    assertEquals(List.of(), revisions(1, 34, 10_000));
    assertEquals(32, revisions(2, 34, 10_000).size());
  }
}
