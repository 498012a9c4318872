package org.otterpond.keyrange;

/** Issues fencing tokens: each is greater than all that were issued or seen before. */
final class FencingTokens {
  private long greatest;

  /** Returns the greatest token that was issued or seen. */
  long greatest() {
    return greatest;
  }

  /** Takes note of a token that another primary issued. */
  void observe(long fence) {
    greatest = Math.max(greatest, fence);
  }

  /** Returns a new token. */
  long next() {
    return ++greatest;
  }
}
