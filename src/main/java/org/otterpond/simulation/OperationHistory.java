package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** What operators called and what they were told, in the order of the calls. */
final class OperationHistory {
  private final LongSupplier clock;
  final List<Operation> operations = new ArrayList<>();

  OperationHistory(LongSupplier clock) {
    this.clock = clock;
  }

  Operation write(String node, ConfigurationWrite order) {
    return add(new Operation(Operation.Kind.WRITE, node, order, clock.getAsLong()));
  }

  Operation read(String node) {
    return add(new Operation(Operation.Kind.READ, node, null, clock.getAsLong()));
  }

  /** What a node puts in force was current at some moment up to now. */
  void served(String node, long revision, List<String> content) {
    returned(add(new Operation(Operation.Kind.SERVED, node, null, 0)), revision, content);
  }

  void answered(Operation write, int status) {
    write.returned = clock.getAsLong();
    write.status = status;
  }

  void returned(Operation read, long revision, List<String> content) {
    read.returned = clock.getAsLong();
    read.revision = revision;
    read.content = content;
  }

  private Operation add(Operation o) {
    operations.add(o);
    return o;
  }
}
