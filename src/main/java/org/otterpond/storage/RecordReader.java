package org.otterpond.storage;

import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;

/** Reads records back from the disk. */
public interface RecordReader {
  /** Told the record at that place, or null if it cannot be read. */
  void read(long place, Consumer<WireRecord> use);
}
