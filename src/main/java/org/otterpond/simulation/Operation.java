package org.otterpond.simulation;

import java.util.List;

/**
 * One operation of a history, from its invocation to its return. An operation without a definite
 * answer never returns.
 */
final class Operation {
  /** The return time of an operation that has not returned. */
  static final long NEVER = Long.MAX_VALUE;

  /** What an operation does. */
  enum Kind {
    /** One attempt of a write; another attempt is another operation with the same write. */
    WRITE,
    /** A read of the current configuration. */
    READ,
    /**
     * A node has activated a revision, which it may do at any time after that revision was current.
     */
    ACTIVATION
  }

  final Kind kind;
  final String node;

  /** What is written; null for a read and an activation. */
  final ConfigurationWrite write;

  final long invokedMicros;
  long returnedMicros = NEVER;

  /** The HTTP status of a write; 0 as long as there is none. */
  int status;

  /** The revision that a read or an activation has shown. */
  long revision;

  /** The markers of that revision, see {@link ConfigurationWrite}. */
  List<String> content = List.of();

  Operation(Kind kind, String node, ConfigurationWrite write, long invokedMicros) {
    this.kind = kind;
    this.node = node;
    this.write = write;
    this.invokedMicros = invokedMicros;
  }

  boolean isRejected() {
    return kind == Kind.WRITE && status >= 400 && status < 500;
  }

  boolean isConfirmed() {
    return kind == Kind.WRITE && status == 200;
  }

  /** The operation as it stood at a moment: not returned if it returned later. */
  Operation asOf(long timeMicros) {
    Operation earlier = new Operation(kind, node, write, invokedMicros);
    if (returnedMicros <= timeMicros) {
      earlier.returnedMicros = returnedMicros;
      earlier.status = status;
      earlier.revision = revision;
      earlier.content = content;
    }
    return earlier;
  }

  @Override
  public String toString() {
    boolean pending = returnedMicros == NEVER;
    String what =
        switch (kind) {
          case WRITE -> "write " + write + " -> " + (pending ? "no definite answer" : status);
          case READ -> "read -> " + (pending ? "no answer" : revision + " " + content);
          case ACTIVATION -> "activates " + revision + " " + content;
        };
    return "["
        + invokedMicros / 1000
        + ".."
        + (pending ? "" : returnedMicros / 1000)
        + " ms "
        + node
        + "] "
        + what;
  }
}
