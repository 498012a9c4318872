package org.otterpond.proxy;

/** A client request that cannot be served as sent; the message names the header and the reason. */
public final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for a header that is missing or has a value that is not allowed. */
  public InvalidRequestException(String message) {
    super(message);
  }

  /** Creates an exception for a header whose value cannot be read. */
  public InvalidRequestException(String message, Throwable cause) {
    super(message, cause);
  }
}
