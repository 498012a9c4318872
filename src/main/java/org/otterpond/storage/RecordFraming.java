package org.otterpond.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.List;
import java.util.zip.CRC32C;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * The form of a record in a file: length of the body (4 bytes), CRC-32C of the body (4 bytes), body
 * (CBOR, compressed or not).
 */
final class RecordFraming {
  static final int HEADER_BYTES = 8;
  private static final int MAX_BODY_BYTES = 48 << 20;
  private static final int COMPRESSION_THRESHOLD_BYTES = 4096;
  private static final int IO_SLICE_BYTES = 64 * 1024;

  /** The first byte of a zlib stream, with which no map in CBOR begins. */
  private static final int ZLIB_FIRST_BYTE = 0x78;

  private RecordFraming() {}

  /** Returns the frame of a record, uncompressed. */
  static byte[] frame(WireRecord record) {
    return frameOf(WireRecordCodec.encode(record));
  }

  /** Returns the frame of a record, compressed if the record is long. */
  static byte[] compressedFrame(WireRecord record) {
    byte[] body = WireRecordCodec.encode(record);
    // Byte fields are compressed already.
    long compressibleBytes = body.length;
    for (Object value : record.fields().values()) {
      compressibleBytes -= value instanceof byte[] bytes ? bytes.length : 0;
    }
    boolean compress = compressibleBytes > COMPRESSION_THRESHOLD_BYTES;
    return frameOf(compress ? CompressedPayload.pack(record) : body);
  }

  private static byte[] frameOf(byte[] body) {
    if (body.length > MAX_BODY_BYTES) {
      throw new IllegalArgumentException(
          "record of " + body.length + " bytes, at most " + MAX_BODY_BYTES + " are allowed");
    }
    return ByteBuffer.allocate(HEADER_BYTES + body.length)
        .putInt(body.length)
        .putInt(checksum(body))
        .put(body)
        .array();
  }

  /** Returns the frames one after the other. */
  static byte[] concatenate(List<byte[]> frames) {
    int size = 0;
    for (byte[] frame : frames) {
      size += frame.length;
    }
    ByteBuffer all = ByteBuffer.allocate(size);
    frames.forEach(all::put);
    return all.array();
  }

  /** Whether a header can have this length of a body. */
  static boolean isValidLength(int bodyBytes) {
    return bodyBytes > 0 && bodyBytes <= MAX_BODY_BYTES;
  }

  /** Returns the record of a body, compressed or not. */
  static WireRecord decode(byte[] body) throws ProtocolException {
    return body[0] == ZLIB_FIRST_BYTE
        ? CompressedPayload.decompress(body)
        : WireRecordCodec.decode(body, 0, body.length);
  }

  static int checksum(byte[] body) {
    CRC32C crc = new CRC32C();
    crc.update(body, 0, body.length);
    return (int) crc.getValue();
  }

  /**
   * Writes bytes in slices. A channel copies the whole of each buffer to memory outside the heap,
   * of which there is little; where there is too little the thread fails by an Error.
   *
   * @return the offset behind the last byte
   */
  static long write(FileChannel channel, byte[] bytes, long offset) throws IOException {
    long end = offset;
    for (int from = 0; from < bytes.length; from += IO_SLICE_BYTES) {
      ByteBuffer slice = slice(bytes, from);
      while (slice.hasRemaining()) {
        end += channel.write(slice, end);
      }
    }
    return end;
  }

  /**
   * Fills the array, in slices as {@link #write} does.
   *
   * @return false if the file ends before
   */
  static boolean readFully(FileChannel channel, byte[] bytes, long offset) throws IOException {
    for (int from = 0; from < bytes.length; from += IO_SLICE_BYTES) {
      ByteBuffer slice = slice(bytes, from);
      while (slice.hasRemaining()) {
        if (channel.read(slice, offset + slice.position()) < 0) {
          return false;
        }
      }
    }
    return true;
  }

  private static ByteBuffer slice(byte[] bytes, int from) {
    return ByteBuffer.wrap(bytes, from, Math.min(IO_SLICE_BYTES, bytes.length - from));
  }
}
