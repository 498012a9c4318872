package org.otterpond.message;

import java.util.function.LongConsumer;
import org.otterpond.signal.Flag;

/** The disk of a machine that stores messages. */
public interface StoreDisk extends Records {
  /** Appends a record; told its place once it is durable, or something below 0. */
  void append(Flag record, LongConsumer done);

  /** Whether there is hardly room for more. */
  boolean nearlyFull();

  /** Whether there are several segments, and the oldest has been closed for longer than that. */
  boolean oldestClosedFor(long micros);

  /** The end of the oldest segment. */
  long oldestEnd();

  /** Lets the oldest segment go. */
  void dropOldest();
}
