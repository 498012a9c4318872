package org.otterpond.storage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/** Reads all records of a write-ahead log, the base first. */
final class WriteAheadLogReader {
  private WriteAheadLogReader() {}

  static List<WireRecord> readAll(Path directory) throws StorageException {
    return readAll(new WriteAheadLog(directory));
  }

  static List<WireRecord> readAll(WriteAheadLog log) throws StorageException {
    List<WireRecord> records = new ArrayList<>();
    LogBase base = log.open();
    if (base != null) {
      records.add(base.toWireRecord());
      log.replay(records::add);
    }
    return records;
  }
}
