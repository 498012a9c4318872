package org.otterpond.storage;

import java.util.function.LongConsumer;
import org.otterpond.protocol.WireRecord;

/**
 * The disk of a message store, as segments that are written one after the other and dropped from
 * the oldest on. Called on the owner thread; callbacks run there.
 */
public interface SegmentStore extends RecordReader {
  /**
   * Appends a record.
   *
   * @param done called with the position of the record once it is durable, or with a negative
   *     number if it could not be written
   */
  void append(WireRecord record, LongConsumer done);

  /** Whether so little space is left that nothing new should be accepted. */
  boolean nearlyFull();

  /**
   * Whether there are several segments and the oldest was closed longer ago than that.
   *
   * @param micros microseconds
   */
  boolean oldestClosedFor(long micros);

  /** Returns the position behind the last record of the oldest segment. */
  long oldestEnd();

  /** Drops the oldest segment; never the newest. */
  void dropOldest();
}
