package org.otterpond.control.state;

import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** The text of a configuration, compressed; immutable. It is decompressed only where it is read. */
public final class CompressedText {
  private static final String COMPRESSED = "packed";

  /** The field in which earlier versions wrote the text uncompressed. */
  private static final String PLAIN = "text";

  private final byte[] compressed;

  private CompressedText(byte[] compressed) {
    this.compressed = compressed;
  }

  /** Returns the text of an encoded entry or snapshot, or null if it has none. */
  public static CompressedText of(WireRecord encoded) {
    byte[] compressed = encoded.bytes(COMPRESSED);
    if (compressed != null) {
      return new CompressedText(compressed);
    }
    String plain = encoded.text(PLAIN);
    return plain == null ? null : of(plain);
  }

  /** Compresses a text. */
  public static CompressedText of(String text) {
    return new CompressedText(CompressedPayload.pack(text));
  }

  /**
   * Writes the field of a text; null leaves it out.
   *
   * @return the given record
   */
  public static WireRecord put(CompressedText text, WireRecord into) {
    return into.with(COMPRESSED, text == null ? null : text.compressed);
  }

  /** Returns the compressed form, which must not be changed. */
  public byte[] compressed() {
    return compressed;
  }

  /**
   * Decompresses the text; for long texts this takes milliseconds, so callers keep the result.
   *
   * @throws IllegalStateException if the bytes are no compressed text
   */
  public String unpacked() {
    try {
      return CompressedPayload.decompressText(compressed);
    } catch (ProtocolException e) {
      throw new IllegalStateException("configuration text cannot be decompressed", e);
    }
  }
}
