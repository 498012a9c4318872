package org.otterpond.control.message;

import java.util.Arrays;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A text or a record in its compressed form, as messages carry it. It is uncompressed only where
 * the content is used; values are equal if their compressed bytes are.
 */
public final class CompressedBytes {
  private final byte[] bytes;

  private CompressedBytes(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Wraps bytes that are compressed already. The array is shared and must not be changed. */
  public static CompressedBytes of(byte[] compressed) {
    return new CompressedBytes(compressed);
  }

  /** Compresses a text. */
  public static CompressedBytes ofText(String text) {
    return new CompressedBytes(CompressedPayload.pack(text));
  }

  /** Compresses a record. */
  public static CompressedBytes ofRecord(WireRecord record) {
    return new CompressedBytes(CompressedPayload.pack(record));
  }

  /** Returns the compressed bytes, which must not be changed. */
  public byte[] bytes() {
    return bytes;
  }

  /** Returns the compressed length in bytes. */
  public int length() {
    return bytes.length;
  }

  /**
   * Uncompresses a text.
   *
   * @throws ProtocolException if the bytes are no compressed text
   */
  public String text() throws ProtocolException {
    return CompressedPayload.decompressText(bytes);
  }

  /**
   * Uncompresses a record.
   *
   * @throws ProtocolException if the bytes are no compressed record
   */
  public WireRecord record() throws ProtocolException {
    return CompressedPayload.decompress(bytes);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CompressedBytes that && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "CompressedBytes[" + bytes.length + "]";
  }
}
