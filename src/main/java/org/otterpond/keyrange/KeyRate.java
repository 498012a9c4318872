package org.otterpond.keyrange;

/**
 * Requests per second for some keys, as two exponentially decaying averages.
 *
 * @param recent average over about a second
 * @param sustained average over some seconds
 */
record KeyRate(double recent, double sustained) {
  static final KeyRate ZERO = new KeyRate(0, 0);

  /** Returns the sum of two rates. */
  KeyRate plus(KeyRate other) {
    return new KeyRate(recent + other.recent, sustained + other.sustained);
  }
}
