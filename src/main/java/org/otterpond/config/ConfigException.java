package org.otterpond.config;

/** Settings or a configuration that do not hold; the message names the field. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
