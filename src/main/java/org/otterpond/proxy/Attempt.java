package org.otterpond.proxy;

import org.otterpond.net.ResponseListener;
import org.otterpond.net.WorkerConnection;

/** One transmission of a request to one worker, until it is answered, fails or is abandoned. */
final class Attempt {
  final WorkerEndpoint endpoint;
  private final long sentAtMicros;

  /** Null until the request is handed to a connection, or if none could be opened. */
  WorkerConnection connection;

  /** Gets the result. */
  ResponseListener listener;

  Attempt(WorkerEndpoint endpoint, long sentAtMicros) {
    this.endpoint = endpoint;
    this.sentAtMicros = sentAtMicros;
  }

  /**
   * Closes the connection.
   *
   * @return whether the worker may receive or have received the request: bytes that the kernel has
   *     accepted may still arrive, others never will
   */
  boolean abandon() {
    return connection != null && connection.abandon();
  }

  /** Returns whether the connection to the worker still carries the request. */
  boolean inFlight() {
    return connection != null && connection.awaitsResponse(listener);
  }

  /** Returns whether the worker has, or is about to have, the whole request. */
  boolean sent() {
    return connection != null && connection.requestSent();
  }

  /** Returns whether the worker may have received any byte of the request. */
  boolean mayHaveReachedWorker() {
    return connection != null && connection.requestMayHaveReachedWorker();
  }

  long sentAtMicros() {
    return sentAtMicros;
  }

  /** Returns whether the worker has answered no request of this node since this one was sent. */
  boolean workerSilentSinceSent() {
    return endpoint.lastResponseAtMicros() <= sentAtMicros;
  }
}
