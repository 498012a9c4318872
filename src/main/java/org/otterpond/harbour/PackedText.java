package org.otterpond.harbour;

import org.otterpond.signal.Bale;
import org.otterpond.signal.Flag;
import org.otterpond.signal.SignalException;

/**
 * A configuration's text as it is kept, written and sent: packed, and unpacked only where it is
 * read.
 */
final class PackedText {
  private static final String FIELD = "packed";

  private final byte[] packed;

  private PackedText(byte[] packed) {
    this.packed = packed;
  }

  /** The text that an entry or a state holds; null if it holds none. */
  static PackedText of(Flag f) {
    if (f.has(FIELD)) {
      return new PackedText(f.bytes(FIELD));
    }
    // Journals of earlier versions hold it as it is.
    return f.has("text") ? new PackedText(Bale.pack(f.text("text"))) : null;
  }

  static PackedText of(String text) {
    return new PackedText(Bale.pack(text));
  }

  static Flag put(PackedText text, Flag into) {
    return into.with(FIELD, text == null ? null : text.packed);
  }

  byte[] packed() {
    return packed;
  }

  /** Long texts take a while: it is for the caller to keep what is made of it. */
  String unpacked() {
    try {
      return Bale.unpackText(packed);
    } catch (SignalException e) {
      throw new IllegalStateException("a text that was packed here or arrived whole", e);
    }
  }
}
