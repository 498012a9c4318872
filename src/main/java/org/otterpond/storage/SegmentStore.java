package org.otterpond.storage;

import java.util.function.LongConsumer;
import org.otterpond.protocol.WireRecord;

/** The disk of a machine that stores messages. */
public interface SegmentStore extends RecordReader {
  /** Appends a record; told its place once it is durable, or something below 0. */
  void append(WireRecord record, LongConsumer done);

  /** Whether there is hardly room for more. */
  boolean nearlyFull();

  /** Whether there are several segments, and the oldest has been closed for longer than that. */
  boolean oldestClosedFor(long micros);

  /** The end of the oldest segment. */
  long oldestEnd();

  /** Lets the oldest segment go. */
  void dropOldest();
}
