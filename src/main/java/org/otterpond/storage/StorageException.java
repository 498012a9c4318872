package org.otterpond.storage;

/** The journal could not be read or written. */
public final class StorageException extends Exception {
  private static final long serialVersionUID = 1L;

  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
