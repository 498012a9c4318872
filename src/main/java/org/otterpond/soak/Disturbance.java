package org.otterpond.soak;

/**
 * One disturbance of a schedule.
 *
 * @param atMillis when it begins, from the start of the requests
 * @param target number of the node or worker, taken modulo how many there are
 * @param forMillis how long it lasts, where it lasts
 */
record Disturbance(Kind kind, int atMillis, int target, int forMillis) {
  /** What is done, and whether it is planned work, around which no response may be lost. */
  enum Kind {
    /** SIGKILL; the process starts again after the time. */
    NODE_KILL(false),
    /** SIGSTOP, and SIGCONT after the time. */
    NODE_SUSPEND(false),
    /** SIGTERM; the process starts again once it has ended. */
    NODE_SHUTDOWN(true),
    /** SIGHUP. */
    NODE_RELOAD(true),
    /** A new revision of the configuration. */
    CONFIGURATION_CHANGE(true),
    /** The worker ends all connections and takes none. */
    WORKER_CRASH(false),
    /** The worker goes on taking requests, ten times as slowly. */
    WORKER_SLOW(false),
    /** Nothing passes between the nodes and the worker; connections stay open. */
    WORKER_CUT(false),
    /** All connections to the worker are reset. */
    CONNECTIONS_RESET(false),
    /** What the worker sends is dropped, and its connections end. */
    RESPONSES_LOST(false),
    /** All clients leave at once. */
    CLIENTS_LEAVE(true);

    private final boolean planned;

    Kind(boolean planned) {
      this.planned = planned;
    }

    boolean isPlanned() {
      return planned;
    }
  }
}
