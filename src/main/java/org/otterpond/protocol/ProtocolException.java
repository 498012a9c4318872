package org.otterpond.protocol;

/** Bytes or fields that do not form a message or log record of the expected kind. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for an encoding that cannot be read. */
  public ProtocolException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Creates an exception for a record whose content is not valid. */
  public ProtocolException(String message) {
    super(message);
  }

  /** Creates an exception for a record of the given kind that lacks a required field. */
  static ProtocolException missingField(String kind, String field) {
    return new ProtocolException("kind " + kind + " lacks the required field " + field);
  }
}
