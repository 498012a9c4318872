package org.otterpond.control.primary;

import org.otterpond.control.message.AssignmentUpdate;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.state.Assignments;
import org.otterpond.protocol.WireRecord;

/**
 * The committed assignments. Only these are sent to nodes; the replicated state of the primary also
 * has those whose commit is pending.
 */
final class CommittedAssignments implements AssignmentWriter {
  private static final long NO_NUMBER = -1;

  private final StateWriter writer;
  private final Runnable onCommitted;
  private Assignments committed = new Assignments();
  private CompressedBytes snapshot;
  private long snapshotNumber = NO_NUMBER;

  /**
   * Creates the assignments, none at first.
   *
   * @param onCommitted runs whenever an assignment was committed
   */
  CommittedAssignments(StateWriter writer, Runnable onCommitted) {
    this.writer = writer;
    this.onCommitted = onCommitted;
  }

  /** Replaces all assignments by those of the replicated state, at the start of an epoch. */
  void reset(Assignments replicated) {
    committed = replicated.copy();
    snapshotNumber = NO_NUMBER;
  }

  /** Returns the committed assignments, which the caller must not change. */
  Assignments current() {
    return committed;
  }

  @Override
  public boolean assign(WireRecord entry, Runnable done) {
    return writer.propose(
        entry,
        () -> {
          committed.apply(entry);
          onCommitted.run();
          done.run();
        });
  }

  /** Returns what a node lacks that has all assignments up to a number. */
  AssignmentUpdate updateSince(long number) {
    return number == 0
        ? AssignmentUpdate.complete(committed.number(), snapshot())
        : AssignmentUpdate.incremental(committed.number(), committed.newerThan(number));
  }

  private CompressedBytes snapshot() {
    if (snapshotNumber != committed.number()) {
      snapshot = CompressedBytes.ofRecord(committed.snapshot());
      snapshotNumber = committed.number();
    }
    return snapshot;
  }
}
