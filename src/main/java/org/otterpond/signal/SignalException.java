package org.otterpond.signal;

/** Bytes that are no message. */
public final class SignalException extends Exception {
  private static final long serialVersionUID = 1L;

  public SignalException(String message, Throwable cause) {
    super(message, cause);
  }
}
