package org.otterpond.storage;

/**
 * The file written to last cannot take further records, since an earlier write or rotation failed
 * or there is none yet. The caller has to begin a new one first ({@link WriteAheadLog#rotate},
 * {@link SegmentedLog#begin}).
 */
public final class NewFileRequiredException extends StorageException {
  private static final long serialVersionUID = 1L;

  NewFileRequiredException(String message) {
    super(message, null);
  }
}
