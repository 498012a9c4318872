package org.otterpond.control.state;

import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A configuration's text as it is kept, written and sent: packed, and unpacked only where it is
 * read.
 */
public final class CompressedText {
  private static final String FIELD = "packed";

  private final byte[] packed;

  private CompressedText(byte[] packed) {
    this.packed = packed;
  }

  /** The text that an entry or a state holds; null if it holds none. */
  public static CompressedText of(WireRecord f) {
    if (f.has(FIELD)) {
      return new CompressedText(f.bytes(FIELD));
    }
    // Journals of earlier versions hold it as it is.
    return f.has("text") ? new CompressedText(CompressedPayload.pack(f.text("text"))) : null;
  }

  public static CompressedText of(String text) {
    return new CompressedText(CompressedPayload.pack(text));
  }

  public static WireRecord put(CompressedText text, WireRecord into) {
    return into.with(FIELD, text == null ? null : text.packed);
  }

  public byte[] packed() {
    return packed;
  }

  /** Long texts take a while: it is for the caller to keep what is made of it. */
  public String unpacked() {
    try {
      return CompressedPayload.unpackText(packed);
    } catch (ProtocolException e) {
      throw new IllegalStateException("a text that was packed here or arrived whole", e);
    }
  }
}
