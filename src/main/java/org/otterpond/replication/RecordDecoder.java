package org.otterpond.replication;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Reads one kind of message or log record.
 *
 * @param <T> the typed form
 */
@FunctionalInterface
interface RecordDecoder<T> {
  /**
   * Reads a record of that kind.
   *
   * @throws ProtocolException if a required field is missing
   */
  T decode(WireRecord encoded) throws ProtocolException;
}
