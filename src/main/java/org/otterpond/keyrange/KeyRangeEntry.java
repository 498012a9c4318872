package org.otterpond.keyrange;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/** An entry of the replicated table about a key range. */
public sealed interface KeyRangeEntry extends Encodable permits KeyRange, KeyRangeRemoval {
  /** The encoded kind of an entry that is to be written. */
  String KIND = "assign";

  /** Name of the field with the name in the table. */
  String KEY = "key";

  /** Name of the field with the service. */
  String SERVICE = "service";

  /** Name of the field with the first key. */
  String FROM = "from";

  /** Returns the name of the service. */
  String service();

  /** Returns the first key of the range. */
  int from();

  /** Returns whether an entry of the replicated table is about a key range. */
  static boolean isKeyRange(WireRecord encoded) {
    return encoded.text(KEY).startsWith(KeyRange.PREFIX);
  }

  /** Reads an entry that {@link #isKeyRange}. */
  static KeyRangeEntry decode(WireRecord encoded) {
    return encoded.truth(KeyRangeRemoval.REMOVED)
        ? KeyRangeRemoval.of(encoded)
        : KeyRange.of(encoded);
  }
}
