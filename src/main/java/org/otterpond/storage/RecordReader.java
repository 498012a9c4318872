package org.otterpond.storage;

import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;

/** Reads records back from the disk. */
public interface RecordReader {
  /**
   * Reads the record at a position that an append returned.
   *
   * @param use called on the owner thread with the record, or with null if it cannot be read
   */
  void read(long position, Consumer<WireRecord> use);
}
