package org.otterpond.logbook;

/** The journal could not be read or written. */
public final class LogbookException extends Exception {
  private static final long serialVersionUID = 1L;

  public LogbookException(String message, Throwable cause) {
    super(message, cause);
  }
}
