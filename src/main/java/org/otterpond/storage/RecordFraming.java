package org.otterpond.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32C;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Records as they stand in a file: length, CRC-32C, CBOR. */
final class RecordFraming {
  static final int HEAD = 8;
  static final int MAX_RECORD = 48 << 20;
  private static final int LONG = 4096;
  private static final int SLICE = 64 * 1024;
  private static final int ZLIB = 0x78;

  private RecordFraming() {}

  static byte[] of(WireRecord f) {
    return of(WireRecordCodec.encode(f));
  }

  /** The same with a long record packed; a packed one begins as no map in CBOR does. */
  static byte[] packed(WireRecord f) {
    byte[] body = WireRecordCodec.encode(f);
    // What stands in it as bytes was packed before.
    long bare = body.length;
    for (Object v : f.fields().values()) {
      bare -= v instanceof byte[] b ? b.length : 0;
    }
    return of(bare > LONG ? CompressedPayload.pack(f) : body);
  }

  static WireRecord read(byte[] body) throws ProtocolException {
    return body[0] == ZLIB
        ? CompressedPayload.unpack(body)
        : WireRecordCodec.decode(body, 0, body.length);
  }

  private static byte[] of(byte[] body) {
    if (body.length > MAX_RECORD) {
      throw new IllegalArgumentException("record too large: " + body.length);
    }
    return ByteBuffer.allocate(HEAD + body.length)
        .putInt(body.length)
        .putInt(crcOf(body, 0, body.length))
        .put(body)
        .array();
  }

  /**
   * Writes the bytes in slices: a channel copies each buffer that it is given outside the heap as a
   * whole, where there is little room, and a thread that finds none there fails by an Error.
   */
  static long write(FileChannel c, byte[] bytes, long at) throws IOException {
    long to = at;
    for (int from = 0; from < bytes.length; from += SLICE) {
      ByteBuffer b = ByteBuffer.wrap(bytes, from, Math.min(SLICE, bytes.length - from));
      while (b.hasRemaining()) {
        to += c.write(b, to);
      }
    }
    return to;
  }

  /** Reads the bytes in slices too; false if there are not so many. */
  static boolean read(FileChannel c, byte[] bytes, long at) throws IOException {
    for (int from = 0; from < bytes.length; from += SLICE) {
      ByteBuffer b = ByteBuffer.wrap(bytes, from, Math.min(SLICE, bytes.length - from));
      while (b.hasRemaining()) {
        if (c.read(b, at + b.position()) < 0) {
          return false;
        }
      }
    }
    return true;
  }

  static int crcOf(byte[] bytes, int offset, int length) {
    CRC32C c = new CRC32C();
    c.update(bytes, offset, length);
    return (int) c.getValue();
  }
}
