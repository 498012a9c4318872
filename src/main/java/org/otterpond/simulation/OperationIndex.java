package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The operations of a history by what the linearizability check looks them up by: the write, its
 * base revision and the revision that was shown.
 */
final class OperationIndex {
  /** What {@link #nextShown} returns if no later revision was shown. */
  static final long NO_REVISION = Long.MAX_VALUE;

  private static final int PRECONDITION_FAILED = 412;

  private final Map<Long, Set<ConfigurationWrite>> writesByBase = new HashMap<>();
  private final Map<ConfigurationWrite, Long> firstInvokedMicros = new HashMap<>();
  private final Map<ConfigurationWrite, Long> firstConfirmedMicros = new HashMap<>();
  private final Map<Long, List<Operation>> rejectionsByBase = new HashMap<>();
  private final Map<Long, List<Operation>> readsByRevision = new HashMap<>();
  private final Map<Long, ConfigurationWrite> confirmedByBase = new HashMap<>();

  /** Revisions that were current at some time: they were read, activated or confirmed. */
  private final TreeSet<Long> shownRevisions = new TreeSet<>();

  private boolean contradictory;

  OperationIndex(List<Operation> history) {
    for (Operation operation : history) {
      if (operation.kind == Operation.Kind.WRITE) {
        addWrite(operation);
      } else if (operation.returnedMicros != Operation.NEVER) {
        readsByRevision
            .computeIfAbsent(operation.revision, revision -> new ArrayList<>())
            .add(operation);
        shownRevisions.add(operation.revision);
      }
    }
    writesByBase.replaceAll((base, writes) -> shownFirst(writes));
  }

  /** Sorts writes so that the search tries those first that are known to have taken effect. */
  private Set<ConfigurationWrite> shownFirst(Set<ConfigurationWrite> writes) {
    List<ConfigurationWrite> sorted = new ArrayList<>(writes);
    sorted.sort(
        Comparator.comparing(
            (ConfigurationWrite write) -> !shownRevisions.contains(write.revision())));
    return new LinkedHashSet<>(sorted);
  }

  private void addWrite(Operation operation) {
    ConfigurationWrite write = operation.write;
    writesByBase.computeIfAbsent(write.base(), base -> new LinkedHashSet<>()).add(write);
    if (!operation.isRejected()) {
      // A rejected attempt has not taken effect and never will.
      firstInvokedMicros.merge(write, operation.invokedMicros, Math::min);
    }
    if (operation.isConfirmed()) {
      firstConfirmedMicros.merge(write, operation.returnedMicros, Math::min);
      ConfigurationWrite other = confirmedByBase.put(write.base(), write);
      contradictory |= other != null && !other.equals(write);
      shownRevisions.add(write.base());
      shownRevisions.add(write.revision());
    } else if (operation.isRejected()) {
      rejectionsByBase.computeIfAbsent(write.base(), base -> new ArrayList<>()).add(operation);
      // All writes are valid and above their base: only another current revision is a reason to
      // reject one.
      contradictory |= operation.status != PRECONDITION_FAILED;
    }
  }

  /**
   * Whether two writes were confirmed on one base, or one was rejected for a reason that cannot
   * apply.
   */
  boolean isContradictory() {
    return contradictory;
  }

  /** All writes on a base revision, those first that are known to have taken effect. */
  Set<ConfigurationWrite> writesOn(long base) {
    return writesByBase.getOrDefault(base, Set.of());
  }

  /** The write that was confirmed on a base revision, or null. */
  ConfigurationWrite confirmedOn(long base) {
    return confirmedByBase.get(base);
  }

  /**
   * When the write was first invoked in an attempt that was not rejected; {@link Operation#NEVER}
   * if all were.
   */
  long firstInvoked(ConfigurationWrite write) {
    return firstInvokedMicros.getOrDefault(write, Operation.NEVER);
  }

  /** When the write was first confirmed; {@link Operation#NEVER} if it was not. */
  long firstConfirmed(ConfigurationWrite write) {
    return firstConfirmedMicros.getOrDefault(write, Operation.NEVER);
  }

  /** The rejected attempts of writes on a base revision. */
  List<Operation> rejectionsOn(long base) {
    return rejectionsByBase.getOrDefault(base, List.of());
  }

  /** The reads and activations of a revision. */
  List<Operation> readsOf(long revision) {
    return readsByRevision.getOrDefault(revision, List.of());
  }

  /** Whether a read or an activation has shown another content under this revision. */
  boolean showsOtherContent(long revision, List<String> content) {
    return readsOf(revision).stream().anyMatch(read -> !read.content.equals(content));
  }

  /** The least revision above this one that was current at some time, or NO_REVISION. */
  long nextShown(long revision) {
    Long next = shownRevisions.higher(revision);
    return next == null ? NO_REVISION : next;
  }
}
