package org.otterpond.client;

/**
 * A call of the operator's that did not come to what was wanted; the code is the program's exit
 * code.
 */
public final class ControlApiException extends Exception {
  private static final long serialVersionUID = 1L;
  public static final int REFUSED = 1;
  static final int UNREACHED = 3;

  private final int code;

  ControlApiException(int code, String message) {
    super(message);
    this.code = code;
  }

  public int code() {
    return code;
  }
}
