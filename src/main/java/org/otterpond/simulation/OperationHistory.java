package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.LongSupplier;

/** The operations of operators and the activations of nodes, in the order of their invocations. */
final class OperationHistory {
  private final LongSupplier clock;
  private final List<Operation> operations = new ArrayList<>();

  /**
   * Creates an empty history.
   *
   * @param clock the simulated time in microseconds
   */
  OperationHistory(LongSupplier clock) {
    this.clock = clock;
  }

  List<Operation> operations() {
    return Collections.unmodifiableList(operations);
  }

  /** Records the invocation of a write. */
  Operation writeInvoked(String node, ConfigurationWrite write) {
    return add(new Operation(Operation.Kind.WRITE, node, write, clock.getAsLong()));
  }

  /** Records the invocation of a read. */
  Operation readInvoked(String node) {
    return add(new Operation(Operation.Kind.READ, node, null, clock.getAsLong()));
  }

  /** Records that a node activates a revision, which was current at some moment up to now. */
  void activated(String node, long revision, List<String> content) {
    readReturned(add(new Operation(Operation.Kind.ACTIVATION, node, null, 0)), revision, content);
  }

  /** Records the HTTP status that a write returns. */
  void writeReturned(Operation write, int status) {
    write.returnedMicros = clock.getAsLong();
    write.status = status;
  }

  /** Records what a read returns. */
  void readReturned(Operation read, long revision, List<String> content) {
    read.returnedMicros = clock.getAsLong();
    read.revision = revision;
    read.content = content;
  }

  private Operation add(Operation operation) {
    operations.add(operation);
    return operation;
  }
}
