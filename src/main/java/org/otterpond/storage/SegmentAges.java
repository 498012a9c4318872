package org.otterpond.storage;

import java.util.TreeMap;

/** When the segments of a log were closed. The newest one is open. */
final class SegmentAges {
  private final TreeMap<Long, Long> closedAtMicros = new TreeMap<>();

  /**
   * Takes in which segments there are. Those that were not known as closed have been closed now, or
   * before this process started.
   */
  void update(long oldest, long newest, long nowMicros) {
    closedAtMicros.headMap(oldest).clear();
    for (long segment = oldest; segment < newest; segment++) {
      closedAtMicros.putIfAbsent(segment, nowMicros);
    }
  }

  /** Returns whether the oldest segment was closed longer ago than that. */
  boolean isOldestClosedFor(long micros, long nowMicros) {
    return !closedAtMicros.isEmpty() && nowMicros - closedAtMicros.firstEntry().getValue() > micros;
  }
}
