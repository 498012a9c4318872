package org.otterpond.storage;

import java.io.IOException;
import org.otterpond.protocol.ProtocolException;

/**
 * A log could not be read or written. The subtypes are the causes on which a caller can act; any
 * other cause (a lack of memory, a record that cannot be encoded) is this type itself.
 *
 * <p>After a failed write nothing of that write counts, whatever the cause.
 */
public class StorageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what failed, and where
   * @param cause what made it fail, or null
   */
  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Returns the exception of the type that fits the cause. */
  static StorageException of(String message, Throwable cause) {
    if (cause instanceof ProtocolException e) {
      return new CorruptRecordException(message, e);
    }
    if (cause instanceof IOException e) {
      return DiskFullException.isCause(e)
          ? new DiskFullException(message, e)
          : new StorageIoException(message, e);
    }
    return new StorageException(message, cause);
  }
}
