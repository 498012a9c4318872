package org.otterpond.proxy;

/** A worker's address that is not of the form {@code host:port}. */
final class MalformedAddressException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedAddressException(String address, Throwable cause) {
    super("not an address of the form host:port: " + address, cause);
  }
}
