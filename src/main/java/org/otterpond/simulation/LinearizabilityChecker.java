package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Whether a history of the one configuration could have come from a register that does one thing at
 * a time, each call at some moment between its invocation and its return. An order takes effect
 * only on the revision that it names as its base, once, and answers 200 then and ever after; a
 * refusal says that at its moment another revision was current and the order had not taken effect.
 * An order without a clear answer takes effect at any time after its invocation or never.
 *
 * <p>The search is Wing and Gong's, made cheap: revisions rise, so a run of the register is a chain
 * of orders each of which has the revision of the one before as its base. Chains are tried in
 * depth; a chain is given up as soon as {@link RevisionIntervals} finds no moments for it. Only
 * orders nobody saw the effect of leave a choice.
 */
final class LinearizabilityChecker {
  private static final int MOST_STEPS = 60_000;

  enum Verdict {
    LINEARIZABLE,
    VIOLATED,
    /** Too many orders of unknown fate to try them all. */
    UNDECIDED
  }

  private final List<Operation> history;

  LinearizabilityChecker(List<Operation> history) {
    this.history = history;
  }

  Verdict verdict() {
    return new Search(new OperationIndex(history)).run();
  }

  /**
   * The return that no run of the register explains although all before it can be explained, or
   * null.
   */
  Operation culprit() {
    List<Operation> returns =
        history.stream()
            .filter(o -> o.returned != Operation.NEVER)
            .sorted((a, b) -> Long.compare(a.returned, b.returned))
            .toList();
    // A beginning of a linearizable history is linearizable, so the first that is not is found by
    // halving.
    int low = 0;
    int high = returns.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (upTo(returns.get(middle).returned) == Verdict.VIOLATED) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low < returns.size() ? returns.get(low) : null;
  }

  private Verdict upTo(long moment) {
    List<Operation> known = new ArrayList<>();
    for (Operation o : history) {
      if (o.invoked <= moment && (o.kind != Operation.Kind.SERVED || o.returned <= moment)) {
        known.add(o.until(moment));
      }
    }
    return new LinearizabilityChecker(known).verdict();
  }

  private static final class Search {
    private final OperationIndex calls;
    private final RevisionIntervals times;
    private int steps;

    Search(OperationIndex calls) {
      this.calls = calls;
      this.times = new RevisionIntervals(calls);
    }

    Verdict run() {
      if (calls.contradictory()) {
        return Verdict.VIOLATED;
      }
      if (from(new ArrayList<>(), 0, List.of())) {
        return Verdict.LINEARIZABLE;
      }
      return steps > MOST_STEPS ? Verdict.UNDECIDED : Verdict.VIOLATED;
    }

    /** Whether some chain that begins with this one explains everything. */
    private boolean from(List<ConfigurationWrite> chain, long revision, List<String> content) {
      if (++steps > MOST_STEPS || calls.shownOtherwise(revision, content)) {
        return false;
      }
      long next = calls.nextShown(revision);
      // Cut short by its last version, a chain must still have moments for what is settled.
      if (!times.possible(chain, false)) {
        return false;
      }
      if (next == Long.MAX_VALUE && times.possible(chain, true)) {
        return true;
      }
      ConfigurationWrite confirmed = calls.confirmedOn(revision);
      for (ConfigurationWrite o : calls.on(revision)) {
        // Past a revision that somebody saw there is no way, and none past a confirmed order.
        if (o.revision() <= revision
            || o.revision() > next
            || calls.invoked(o) == Operation.NEVER
            || confirmed != null && !confirmed.equals(o)) {
          continue;
        }
        chain.add(o);
        if (from(chain, o.revision(), o.after(content))) {
          return true;
        }
        chain.remove(chain.size() - 1);
      }
      return false;
    }
  }

  /** A short account of the violation. */
  String explain() {
    Operation o = culprit();
    if (o == null) {
      return "no single return is to blame";
    }
    StringBuilder out = new StringBuilder("cannot be explained: " + o);
    history.stream()
        .filter(h -> h != o && h.returned <= o.returned && related(h, o))
        .sorted((a, b) -> Long.compare(b.returned, a.returned))
        .limit(8)
        .forEach(h -> out.append("; ").append(h));
    return out.toString();
  }

  private static boolean related(Operation a, Operation b) {
    if (b.kind != Operation.Kind.WRITE) {
      return a.kind != Operation.Kind.SERVED && (a.kind == Operation.Kind.READ || a.isConfirmed());
    }
    return a.kind == Operation.Kind.WRITE
        ? Objects.equals(a.order, b.order) || a.order.base() == b.order.base() && a.isConfirmed()
        : a.revision == b.order.revision() || a.revision == b.order.base();
  }
}
