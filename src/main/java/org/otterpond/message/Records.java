package org.otterpond.message;

import java.util.function.Consumer;
import org.otterpond.signal.Flag;

/** Reads records back from the disk. */
public interface Records {
  /** Told the record at that place, or null if it cannot be read. */
  void read(long place, Consumer<Flag> use);
}
