package org.otterpond.config;

/** What a client may send and how long it may take. */
public record ClientLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerMicros, long idleMicros) {
  public static ClientLimits standard() {
    return new ClientLimits(16_384, 64L << 20, 3_000_000, 15_000_000);
  }
}
