package org.otterpond.config;

/** Settings or a configuration that are not valid; the message names the field and the reason. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for a field. */
  public ConfigException(String message) {
    super(message);
  }

  /** Creates an exception with the error that it was found by. */
  public ConfigException(String message, Throwable cause) {
    super(message, cause);
  }
}
