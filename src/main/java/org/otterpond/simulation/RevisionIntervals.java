package org.otterpond.simulation;

import java.util.Arrays;
import java.util.List;

/**
 * Decides whether the writes of a chain can have taken effect at times that agree with every
 * operation. Let t(k) be the time at which the k-th write of the chain takes effect, and t(0) = 0
 * for the initial configuration. The operations demand:
 *
 * <ul>
 *   <li>t(k) is not before t(k-1), nor before the first invocation of the write, nor after its
 *       first confirmation;
 *   <li>for a read of revision k: t(k) is not after its return, t(k+1) not before its invocation;
 *   <li>for a rejection of write k itself: its base was not current yet, so t(k-1) is not before
 *       the invocation;
 *   <li>for a rejection of another write on revision k: t(k) is not before its invocation (the base
 *       was not current yet), or t(k+1) is not after its return (the base was no longer current).
 * </ul>
 *
 * <p>If two solutions meet these demands so does their pointwise minimum, the last demand included.
 * So if there is a solution there is a least one. It is found by raising lower bounds from 0 only
 * as far as they must be: where t(k+1) is after the return of a rejection in the least solution it
 * is so in every one, which leaves the other alternative of the last demand. The chain is possible
 * if the least solution keeps the upper bounds. Two equal times count as either order.
 */
final class RevisionIntervals {
  private final OperationIndex operations;
  private final List<ConfigurationWrite> chain;
  private final boolean complete;
  private final long[] earliest;
  private final long[] latest;

  private RevisionIntervals(
      OperationIndex operations, List<ConfigurationWrite> chain, boolean complete) {
    this.operations = operations;
    this.chain = chain;
    this.complete = complete;
    earliest = new long[chain.size() + 2];
    latest = new long[chain.size() + 2];
  }

  /**
   * Decides for one chain.
   *
   * @param complete whether no write follows the chain; else more may, and operations on its last
   *     revision are left open
   */
  static boolean possible(
      OperationIndex operations, List<ConfigurationWrite> chain, boolean complete) {
    return new RevisionIntervals(operations, chain, complete).solve();
  }

  private boolean solve() {
    boundByReadsAndWrites();
    do {
      if (!ascend()) {
        return false;
      }
    } while (raiseByRejections());
    return earliest[0] == 0;
  }

  private long revision(int index) {
    return index == 0 ? 0 : chain.get(index - 1).revision();
  }

  private void boundByReadsAndWrites() {
    Arrays.fill(latest, Operation.NEVER);
    latest[0] = 0;
    earliest[chain.size() + 1] = complete ? Operation.NEVER : 0;
    for (int k = 0; k <= chain.size(); k++) {
      if (k > 0) {
        ConfigurationWrite write = chain.get(k - 1);
        earliest[k] = Math.max(earliest[k], operations.firstInvoked(write));
        latest[k] = Math.min(latest[k], operations.firstConfirmed(write));
      }
      for (Operation read : operations.readsOf(revision(k))) {
        latest[k] = Math.min(latest[k], read.returnedMicros);
        earliest[k + 1] = Math.max(earliest[k + 1], read.invokedMicros);
      }
    }
  }

  /** Raises each time to the one before it; false if one is then after its upper bound. */
  private boolean ascend() {
    for (int k = 1; k <= chain.size(); k++) {
      earliest[k] = Math.max(earliest[k], earliest[k - 1]);
      if (earliest[k] > latest[k]) {
        return false;
      }
    }
    return true;
  }

  private boolean raiseByRejections() {
    boolean raised = false;
    int known = complete ? chain.size() : chain.size() - 1;
    for (int k = 0; k <= known; k++) {
      ConfigurationWrite next = k < chain.size() ? chain.get(k) : null;
      for (Operation rejection : operations.rejectionsOn(revision(k))) {
        boolean baseReplaced =
            !rejection.write.equals(next) && earliest[k + 1] <= rejection.returnedMicros;
        if (!baseReplaced && earliest[k] < rejection.invokedMicros) {
          earliest[k] = rejection.invokedMicros;
          raised = true;
        }
      }
    }
    return raised;
  }
}
