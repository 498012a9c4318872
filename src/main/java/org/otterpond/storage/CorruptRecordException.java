package org.otterpond.storage;

import org.otterpond.protocol.ProtocolException;

/**
 * Stored bytes are not the record that was written there. Reading them again does not help: the
 * data has to come from another replica.
 */
public final class CorruptRecordException extends StorageException {
  private static final long serialVersionUID = 1L;

  CorruptRecordException(String message, ProtocolException cause) {
    super(message, cause);
  }

  CorruptRecordException(String message) {
    super(message, null);
  }
}
