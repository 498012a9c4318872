package org.otterpond.cargo;

import org.otterpond.quay.Tender;

/** One sending of a request to one worker, until it is answered, fails or is given up. */
final class Attempt {
  final Hull hull;
  private final long sentAt;
  Tender tender;

  Attempt(Hull hull, long sentAt) {
    this.hull = hull;
    this.sentAt = sentAt;
  }

  /**
   * Gives it up. Whether the worker may have it: a byte that the kernel took may arrive yet, others
   * never will.
   */
  boolean abandon() {
    return tender != null && tender.abandon();
  }

  long sentAt() {
    return sentAt;
  }

  /** Whether the worker has answered nothing at all, to anybody here, since it was sent this. */
  boolean silent() {
    return hull.quietSince() <= sentAt;
  }
}
