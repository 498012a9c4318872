package org.otterpond.chart;

/** What a client may send and how long it may take. */
public record Limits(int maxHeaderBytes, long maxBodyBytes, long headerMicros, long idleMicros) {
  public static Limits standard() {
    return new Limits(16_384, 64L << 20, 3_000_000, 15_000_000);
  }
}
