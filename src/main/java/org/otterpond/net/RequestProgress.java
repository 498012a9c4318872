package org.otterpond.net;

/**
 * How far a request has got on the connection to a worker when it fails, and what that proves. The
 * table of docs/design.md, "What proves that a request was not executed", has a line for each.
 *
 * <p>The only proof on this side that a worker has not executed a request and never will is that
 * the kernel has taken no byte of it: what the kernel has taken may arrive, whatever happens to the
 * connection here, and what it has not taken is dropped with the connection.
 */
enum RequestProgress {
  /** The connection is not established: refused, timed out, or still being tried. */
  CONNECTING(false),

  /** The connection is established, and the kernel has taken nothing of the request. */
  NOT_SENT(false),

  /** The kernel has taken a part of the request. */
  PARTLY_SENT(true),

  /** The kernel has taken all of the request, and nothing has come back. */
  SENT(true),

  /** Something has come back that is not, or not yet, the complete response to this request. */
  RESPONSE_INCOMPLETE(true);

  private final boolean mayHaveReachedWorker;

  RequestProgress(boolean mayHaveReachedWorker) {
    this.mayHaveReachedWorker = mayHaveReachedWorker;
  }

  /** Whether the kernel has taken all of the request. */
  boolean isSent() {
    return this == SENT || this == RESPONSE_INCOMPLETE;
  }

  /** Whether the worker may have executed the request, or may yet. */
  boolean mayHaveReachedWorker() {
    return mayHaveReachedWorker;
  }
}
