package org.otterpond.storage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/** A journal's records, the first among them, as one list. */
final class WriteAheadLogReader {
  private WriteAheadLogReader() {}

  static List<WireRecord> all(Path folder) throws StorageException {
    return all(new WriteAheadLog(folder));
  }

  static List<WireRecord> all(WriteAheadLog l) throws StorageException {
    List<WireRecord> out = new ArrayList<>();
    WireRecord base = l.open();
    if (base != null) {
      out.add(base);
      l.replay(out::add);
    }
    return out;
  }
}
