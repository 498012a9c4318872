package org.otterpond.simulation;

import java.util.Arrays;
import java.util.List;

/**
 * Whether the versions of a chain can have become current at moments that agree with every call.
 * Let t(k) be the moment of the k-th order of the chain, t(0) = 0 for what was there first. The
 * calls ask for:
 *
 * <ul>
 *   <li>t(k) not before t(k-1), nor before the order's first invocation, nor after its first 200;
 *   <li>of a read of version k: t(k) not after its return, t(k+1) not before its invocation;
 *   <li>of a refusal of the order k itself: its base had not come into being, so t(k-1) not before
 *       its invocation;
 *   <li>of a refusal of another order on version k: t(k) not before its invocation (the base was
 *       still to come), or t(k+1) not after its return (the base had gone).
 * </ul>
 *
 * <p>Each of these, the last too, holds of the pointwise least of two solutions if it holds of
 * both. So if there is any solution there is a least one. It is found by raising from 0 only what
 * must be raised: where t(k+1) is past a refusal's return already in the least solution it is in
 * every one, which leaves the other half of the last demand. The chain is possible if the least
 * solution keeps the upper bounds. Moments that are equal count as either order.
 */
final class RevisionIntervals {
  private final OperationIndex calls;

  RevisionIntervals(OperationIndex calls) {
    this.calls = calls;
  }

  /**
   * If {@code whole}, nothing follows the chain; else more may, and calls on its last version are
   * left open.
   */
  boolean possible(List<ConfigurationWrite> chain, boolean whole) {
    int n = chain.size();
    long[] least = new long[n + 2];
    long[] most = new long[n + 2];
    Arrays.fill(most, Operation.NEVER);
    most[0] = 0;
    least[n + 1] = whole ? Operation.NEVER : 0;
    for (int k = 0; k <= n; k++) {
      long revision = 0;
      if (k > 0) {
        ConfigurationWrite o = chain.get(k - 1);
        revision = o.revision();
        least[k] = Math.max(least[k], calls.invoked(o));
        most[k] = Math.min(most[k], calls.confirmed(o));
      }
      for (Operation r : calls.reads(revision)) {
        most[k] = Math.min(most[k], r.returned);
        least[k + 1] = Math.max(least[k + 1], r.invoked);
      }
    }
    do {
      for (int k = 1; k <= n; k++) {
        least[k] = Math.max(least[k], least[k - 1]);
        if (least[k] > most[k]) {
          return false;
        }
      }
    } while (raisedByRefusals(chain, least, whole));
    return least[0] == 0;
  }

  private boolean raisedByRefusals(List<ConfigurationWrite> chain, long[] least, boolean whole) {
    int n = chain.size();
    boolean raised = false;
    for (int k = 0; k <= n; k++) {
      long revision = k == 0 ? 0 : chain.get(k - 1).revision();
      ConfigurationWrite next = k < n ? chain.get(k) : null;
      if (next == null && !whole) {
        continue;
      }
      for (Operation f : calls.refusedOn(revision)) {
        boolean gone = !f.order.equals(next) && least[k + 1] <= f.returned;
        if (!gone && least[k] < f.invoked) {
          least[k] = f.invoked;
          raised = true;
        }
      }
    }
    return raised;
  }
}
