package org.otterpond.simulation;

import java.util.List;

/**
 * One call in a history, from its invocation to its return. What has no clear answer never returns.
 */
final class Operation {
  static final long NEVER = Long.MAX_VALUE;

  enum Kind {
    /** An order sent once; sending it again is another operation with the same order. */
    WRITE,
    READ,
    /**
     * A node has put a version in force, which it may do any time after that version was current.
     */
    SERVED
  }

  final Kind kind;
  final String node;
  final ConfigurationWrite order;
  final long invoked;
  long returned = NEVER;

  /** The answer to an order; 0 as long as there is none. */
  int status;

  /** What a read, or a node, showed. */
  long revision;

  List<String> content = List.of();

  Operation(Kind kind, String node, ConfigurationWrite order, long invoked) {
    this.kind = kind;
    this.node = node;
    this.order = order;
    this.invoked = invoked;
  }

  boolean isRefusal() {
    return kind == Kind.WRITE && status >= 400 && status < 500;
  }

  boolean isConfirmed() {
    return kind == Kind.WRITE && status == 200;
  }

  /** The same call as it stood at a moment before everything else was known. */
  Operation until(long moment) {
    Operation o = new Operation(kind, node, order, invoked);
    if (returned <= moment) {
      o.returned = returned;
      o.status = status;
      o.revision = revision;
      o.content = content;
    }
    return o;
  }

  @Override
  public String toString() {
    String what =
        switch (kind) {
          case WRITE ->
              "write " + order + " -> " + (returned == NEVER ? "no clear answer" : "" + status);
          case READ -> "read -> " + (returned == NEVER ? "no answer" : revision + " " + content);
          case SERVED -> "serves " + revision + " " + content;
        };
    return "["
        + invoked / 1000
        + ".."
        + (returned == NEVER ? "" : returned / 1000)
        + " ms "
        + node
        + "] "
        + what;
  }
}
