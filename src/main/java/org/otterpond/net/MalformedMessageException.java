package org.otterpond.net;

import java.io.IOException;

/** What came in is not a valid HTTP/1.1 message, or it exceeds a limit. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;
  private static final int BAD_REQUEST = 400;
  private final int status;

  /** Creates an exception with status 400. */
  public MalformedMessageException(String message) {
    this(message, BAD_REQUEST);
  }

  /**
   * Creates an exception.
   *
   * @param status the status of the response if a client sent the message
   */
  public MalformedMessageException(String message, int status) {
    super(message);
    this.status = status;
  }

  /** Returns the status of the response if a client sent the message. */
  public int status() {
    return status;
  }
}
