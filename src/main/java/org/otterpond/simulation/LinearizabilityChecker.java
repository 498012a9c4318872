package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * Decides whether a history is linearizable: whether the one replicated configuration behaved like
 * a register on which every operation takes effect at one moment between its invocation and its
 * return.
 *
 * <p>The register holds a revision and its content. A write takes effect only if its base is the
 * current revision, and only once; it returns 200 then and at every later attempt. A rejection says
 * that at its moment another revision was current and the write had not taken effect. A write
 * without a definite answer takes effect at any time after its invocation, or never.
 *
 * <p>The search is that of Wing and Gong ("Testing and Verifying Concurrent Objects", 1993),
 * narrowed to this register: as revisions only grow, an execution is a chain of writes each of
 * which has the revision of the one before as its base. Chains are extended depth first, and a
 * chain is abandoned as soon as {@link RevisionIntervals} finds no times for its writes. Where
 * every base has one candidate the number of steps is linear in the number of writes, and each step
 * is at least linear in the length of the chain. Only writes whose effect nobody has seen leave
 * more candidates; they multiply the steps, whose number is bounded.
 */
final class LinearizabilityChecker {
  private static final int MAX_STEPS = 60_000;
  private static final int MAX_EXPLAINED = 8;

  /** The result of the check. */
  enum Verdict {
    LINEARIZABLE,
    VIOLATED,
    /** Too many writes of unknown outcome to try all their orders. */
    UNDECIDED
  }

  private final List<Operation> history;

  LinearizabilityChecker(List<Operation> history) {
    this.history = history;
  }

  /** Checks the whole history. */
  Verdict verdict() {
    return new Search(new OperationIndex(history)).run();
  }

  /**
   * The first operation whose return contradicts the history before it, or null if the history up
   * to each return is linearizable or undecided.
   */
  Operation firstViolation() {
    List<Operation> returned =
        history.stream()
            .filter(operation -> operation.returnedMicros != Operation.NEVER)
            .sorted(Comparator.comparingLong(operation -> operation.returnedMicros))
            .toList();
    // Every prefix of a linearizable history is linearizable, so a binary search finds the first
    // that is not.
    int low = 0;
    int high = returned.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (verdictAsOf(returned.get(middle).returnedMicros) == Verdict.VIOLATED) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low < returned.size() ? returned.get(low) : null;
  }

  private Verdict verdictAsOf(long timeMicros) {
    List<Operation> prefix = new ArrayList<>();
    for (Operation operation : history) {
      boolean known =
          operation.kind == Operation.Kind.ACTIVATION
              ? operation.returnedMicros <= timeMicros
              : operation.invokedMicros <= timeMicros;
      if (known) {
        prefix.add(operation.asOf(timeMicros));
      }
    }
    return new LinearizabilityChecker(prefix).verdict();
  }

  /** The depth-first search for a chain of writes that explains the history. */
  private static final class Search {
    private final OperationIndex operations;
    private final List<ConfigurationWrite> chain = new ArrayList<>();
    private int steps;

    Search(OperationIndex operations) {
      this.operations = operations;
    }

    Verdict run() {
      if (operations.isContradictory()) {
        return Verdict.VIOLATED;
      }
      if (extend(0, List.of())) {
        return Verdict.LINEARIZABLE;
      }
      return steps > MAX_STEPS ? Verdict.UNDECIDED : Verdict.VIOLATED;
    }

    /** Whether some chain that begins with the current one explains the history. */
    private boolean extend(long revision, List<String> content) {
      if (++steps > MAX_STEPS || operations.showsOtherContent(revision, content)) {
        return false;
      }
      if (!RevisionIntervals.possible(operations, chain, false)) {
        return false;
      }
      boolean lastShown = operations.nextShown(revision) == OperationIndex.NO_REVISION;
      if (lastShown && RevisionIntervals.possible(operations, chain, true)) {
        return true;
      }
      for (ConfigurationWrite write : operations.writesOn(revision)) {
        if (!mayFollow(revision, write)) {
          continue;
        }
        chain.add(write);
        if (extend(write.revision(), write.contentAfter(content))) {
          return true;
        }
        chain.remove(chain.size() - 1);
      }
      return false;
    }

    /** A chain skips no revision that was shown, and no write that was confirmed. */
    private boolean mayFollow(long revision, ConfigurationWrite write) {
      ConfigurationWrite confirmed = operations.confirmedOn(revision);
      return write.revision() > revision
          && write.revision() <= operations.nextShown(revision)
          && operations.firstInvoked(write) != Operation.NEVER
          && (confirmed == null || confirmed.equals(write));
    }
  }

  /** Describes the first violation and the operations that it contradicts. */
  String explain() {
    Operation violation = firstViolation();
    if (violation == null) {
      return "no single operation contradicts the history before it";
    }
    StringBuilder text = new StringBuilder("not linearizable: " + violation);
    history.stream()
        .filter(other -> other != violation && other.returnedMicros <= violation.returnedMicros)
        .filter(other -> isRelated(other, violation))
        .sorted(Comparator.comparingLong((Operation other) -> other.returnedMicros).reversed())
        .limit(MAX_EXPLAINED)
        .forEach(other -> text.append("; ").append(other));
    return text.toString();
  }

  private static boolean isRelated(Operation other, Operation violation) {
    if (violation.kind != Operation.Kind.WRITE) {
      return other.kind == Operation.Kind.READ || other.isConfirmed();
    }
    ConfigurationWrite write = violation.write;
    if (other.kind == Operation.Kind.WRITE) {
      return Objects.equals(other.write, write)
          || (other.write.base() == write.base() && other.isConfirmed());
    }
    return other.revision == write.revision() || other.revision == write.base();
  }
}
