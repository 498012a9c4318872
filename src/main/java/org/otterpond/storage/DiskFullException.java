package org.otterpond.storage;

import java.io.IOException;
import java.util.Locale;

/** There is no space left on the disk. A write can succeed once space has been freed. */
public final class DiskFullException extends StorageException {
  private static final long serialVersionUID = 1L;

  /** The messages of ENOSPC and EDQUOT, for which the JDK has no exception types. */
  private static final String NO_SPACE = "no space left on device";

  private static final String QUOTA_EXCEEDED = "disk quota exceeded";

  DiskFullException(String message, IOException cause) {
    super(message, cause);
  }

  /** Whether the disk rejected an access for lack of space. */
  static boolean isCause(IOException failure) {
    String message = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
    return message.contains(NO_SPACE) || message.contains(QUOTA_EXCEEDED);
  }
}
