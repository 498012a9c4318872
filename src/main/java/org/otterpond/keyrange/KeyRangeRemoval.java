package org.otterpond.keyrange;

import org.otterpond.protocol.WireRecord;

/** Removes a range: its keys belong to the range before it. */
public record KeyRangeRemoval(String service, int from) implements KeyRangeEntry {
  static final String REMOVED = "gone";

  static KeyRangeRemoval of(WireRecord encoded) {
    return new KeyRangeRemoval(encoded.text(SERVICE), (int) encoded.number(FROM));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(KEY, KeyRange.key(service, from))
        .with(SERVICE, service)
        .with(FROM, from)
        .with(REMOVED, true);
  }
}
