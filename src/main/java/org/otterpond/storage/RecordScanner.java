package org.otterpond.storage;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the bodies of the complete records at the beginning of a file, one at a time. It ends at
 * the first record that is incomplete or fails its checksum: after a power loss that can only be
 * one whose write was never acknowledged.
 */
final class RecordScanner implements Closeable {
  private static final int BUFFER_BYTES = 64 * 1024;

  private final DataInputStream in;
  private final long limit;
  private long offset;

  /**
   * Opens a file.
   *
   * @param limit how many bytes of it are read at most
   */
  RecordScanner(Path file, long limit) throws IOException {
    this.in =
        new DataInputStream(new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES));
    this.limit = limit;
  }

  /**
   * Returns the next body, or null if there is no further complete record; it is not called again
   * then.
   */
  byte[] next() throws IOException {
    long remaining = limit - offset - RecordFraming.HEADER_BYTES;
    if (remaining < 0) {
      return null;
    }
    int length = in.readInt();
    int checksum = in.readInt();
    if (!RecordFraming.isValidLength(length) || length > remaining) {
      return null;
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length || RecordFraming.checksum(body) != checksum) {
      return null;
    }
    offset += RecordFraming.HEADER_BYTES + length;
    return body;
  }

  /** Returns the offset behind the last record that was returned. */
  long offset() {
    return offset;
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
