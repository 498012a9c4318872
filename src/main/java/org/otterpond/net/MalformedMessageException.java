package org.otterpond.net;

import java.io.IOException;

/** What arrived is no message in the protocol. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;
  private final int status;

  public MalformedMessageException(String message) {
    this(message, 400);
  }

  public MalformedMessageException(String message, int status) {
    super(message);
    this.status = status;
  }

  /** What to answer if it came from a client. */
  public int status() {
    return status;
  }
}
