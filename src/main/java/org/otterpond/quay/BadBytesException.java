package org.otterpond.quay;

import java.io.IOException;

/** What arrived is no message in the protocol. */
public final class BadBytesException extends IOException {
  private static final long serialVersionUID = 1L;
  private final int status;

  public BadBytesException(String message) {
    this(message, 400);
  }

  public BadBytesException(String message, int status) {
    super(message);
    this.status = status;
  }

  /** What to answer if it came from a client. */
  public int status() {
    return status;
  }
}
