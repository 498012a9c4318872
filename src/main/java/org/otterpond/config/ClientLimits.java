package org.otterpond.config;

/**
 * What a client may send and how long it may take.
 *
 * @param maxHeaderBytes largest size of start line and headers
 * @param maxBodyBytes largest size of a body
 * @param headerMicros longest time from the first byte of a request to the end of its headers
 * @param idleMicros longest time without a byte while the gateway waits for the client
 */
public record ClientLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerMicros, long idleMicros) {
  private static final ClientLimits STANDARD =
      new ClientLimits(16_384, 64L << 20, 3_000_000, 15_000_000);

  /** Returns the limits of a configuration that gives none. */
  public static ClientLimits standard() {
    return STANDARD;
  }
}
