package org.otterpond.client;

/** A call of the control API that did not succeed, with the exit code for the command line. */
public final class ControlApiException extends Exception {
  /** Exit code: the request was rejected, or its input is invalid. */
  public static final int REJECTED = 1;

  /** Exit code: the command was used wrongly. */
  public static final int USAGE = 2;

  /** Exit code: no node gave a definite answer, so a change may or may not have been made. */
  public static final int NO_ANSWER = 3;

  private static final long serialVersionUID = 1L;

  private final int exitCode;

  ControlApiException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** The exit code for the command line. */
  public int exitCode() {
    return exitCode;
  }
}
