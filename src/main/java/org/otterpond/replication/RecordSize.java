package org.otterpond.replication;

import org.otterpond.protocol.WireRecord;

/** Estimates the encoded size of entries and pieces, for the size of messages. */
final class RecordSize {
  private static final String BODY = "body";
  private static final int OTHER_FIELDS_BYTES = 200;

  private RecordSize() {}

  /** Returns the size of the body and an allowance for the other fields, in bytes. */
  static long estimate(WireRecord content) {
    byte[] body = content.bytes(BODY);
    return body == null ? OTHER_FIELDS_BYTES : OTHER_FIELDS_BYTES + body.length;
  }
}
