package org.otterpond.storage;

import java.io.IOException;

/**
 * The operating system rejected an access to the disk. The same access may succeed later; if it
 * does not, the disk has to be replaced.
 */
public final class StorageIoException extends StorageException {
  private static final long serialVersionUID = 1L;

  StorageIoException(String message, IOException cause) {
    super(message, cause);
  }
}
