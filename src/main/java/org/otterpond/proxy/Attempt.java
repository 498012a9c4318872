package org.otterpond.proxy;

import org.otterpond.net.WorkerConnection;

/** One sending of a request to one worker, until it is answered, fails or is given up. */
final class Attempt {
  final WorkerEndpoint endpoint;
  private final long sentAt;
  WorkerConnection connection;

  Attempt(WorkerEndpoint endpoint, long sentAt) {
    this.endpoint = endpoint;
    this.sentAt = sentAt;
  }

  /**
   * Gives it up. Whether the worker may have it: a byte that the kernel took may arrive yet, others
   * never will.
   */
  boolean abandon() {
    return connection != null && connection.abandon();
  }

  long sentAt() {
    return sentAt;
  }

  /** Whether the worker has answered nothing at all, to anybody here, since it was sent this. */
  boolean silent() {
    return endpoint.quietSince() <= sentAt;
  }
}
