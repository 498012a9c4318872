package org.otterpond.config;

/** Checks texts of the form {@code address:port}. */
final class Endpoints {
  private static final int MAX_PORT = 65_535;

  private Endpoints() {}

  static boolean isPort(int port) {
    return port >= 1 && port <= MAX_PORT;
  }

  /**
   * Returns the text unchanged.
   *
   * @param path path of the field, for the error
   */
  static String checked(String endpoint, String path) throws ConfigException {
    int colon = endpoint.lastIndexOf(':');
    if (colon >= 1 && isPort(port(endpoint.substring(colon + 1)))) {
      return endpoint;
    }
    throw new ConfigException(path + ": must be address:port");
  }

  /** Returns the number, or 0 if the text is none. */
  private static int port(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
