package org.otterpond.net;

/** Why a connection to a worker is closed. */
enum CloseReason {
  /** The worker rejected the connection. */
  REFUSED("refused"),
  /** The connection was not established in time, or this process noticed it too late. */
  CONNECT_TIMEOUT("connect_timeout"),
  /** The kernel rejected a write. */
  WRITE_FAILED("write_failed"),
  /** The connection broke. */
  RESET("reset"),
  /** The worker ended the connection before its response was complete. */
  ENDED_EARLY("ended_early"),
  /** What the worker sent is not HTTP. */
  MALFORMED_RESPONSE("malformed_response"),
  /** The response does not carry the id of the request. */
  RESPONSE_TO_OTHER_REQUEST("response_to_other_request"),
  /** The caller gave up on the request. */
  ABANDONED("abandoned"),
  /** The response was complete, and nothing more can be sent on this connection. */
  NOT_REUSABLE("not_reusable"),
  /** Something came in on an idle connection, or it ended. */
  IDLE_INPUT("idle_input"),
  /** It was idle for too long, or its end was noticed when it was to be used again. */
  STALE("stale"),
  /** The pool was closed. */
  POOL_CLOSED("pool_closed");

  private final String label;

  CloseReason(String label) {
    this.label = label;
  }

  /** Returns the reason as it is logged. */
  String label() {
    return label;
  }
}
