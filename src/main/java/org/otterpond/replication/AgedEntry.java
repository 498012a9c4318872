package org.otterpond.replication;

import org.otterpond.protocol.WireRecord;

/**
 * An entry that is written or sent again, with the time since it was written first. A restart or a
 * new primary does not make an entry younger.
 *
 * @param entry the entry without its age
 * @param ageMicros how long ago it was written first; 0 for an entry that is new
 */
record AgedEntry(WireRecord entry, long ageMicros) {
  /** An age below this is left out, as on the ordinary path. */
  private static final long MIN_AGE_MICROS = 20_000;

  private static final String AGE = "entry_age";

  /** Reads an entry that may carry its age. */
  static AgedEntry of(WireRecord encoded) {
    if (!encoded.has(AGE)) {
      return new AgedEntry(encoded, 0);
    }
    WireRecord entry = new WireRecord(encoded.kind());
    encoded.fields().forEach(entry::with);
    entry.fields().remove(AGE);
    return new AgedEntry(entry, encoded.number(AGE));
  }

  /** Returns the entry with its age, or the entry itself if that is new. */
  WireRecord toWireRecord() {
    if (ageMicros < MIN_AGE_MICROS) {
      return entry;
    }
    WireRecord encoded = new WireRecord(entry.kind());
    entry.fields().forEach(encoded::with);
    return encoded.with(AGE, ageMicros);
  }
}
