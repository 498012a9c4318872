package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A history sorted for the check: by order, by base and by the revision that was shown. */
final class OperationIndex {
  private static final int PRECONDITION_FAILED = 412;

  private final Map<Long, Set<ConfigurationWrite>> byBase = new HashMap<>();
  private final Map<ConfigurationWrite, Long> invoked = new HashMap<>();
  private final Map<ConfigurationWrite, Long> confirmed = new HashMap<>();
  private final Map<Long, List<Operation>> refusedByBase = new HashMap<>();
  private final Map<Long, List<Operation>> reads = new HashMap<>();
  private final Map<Long, ConfigurationWrite> confirmedOn = new HashMap<>();

  /** Revisions that must have been current at some time: somebody saw them, or was told 200. */
  private final TreeSet<Long> shown = new TreeSet<>();

  private boolean contradictory;

  OperationIndex(List<Operation> history) {
    for (Operation o : history) {
      if (o.kind == Operation.Kind.WRITE) {
        write(o);
      } else if (o.returned != Operation.NEVER) {
        reads.computeIfAbsent(o.revision, r -> new ArrayList<>()).add(o);
        shown.add(o.revision);
      }
    }
    // What is known to have taken effect is tried first.
    byBase.replaceAll(
        (base, orders) -> {
          List<ConfigurationWrite> sorted = new ArrayList<>(orders);
          sorted.sort(
              Comparator.comparing((ConfigurationWrite x) -> !shown.contains(x.revision())));
          return new LinkedHashSet<>(sorted);
        });
  }

  private void write(Operation o) {
    ConfigurationWrite order = o.order;
    byBase.computeIfAbsent(order.base(), b -> new LinkedHashSet<>()).add(order);
    if (!o.isRefusal()) {
      // A call that was refused has done nothing, and will not.
      invoked.merge(order, o.invoked, Math::min);
    }
    if (o.isConfirmed()) {
      confirmed.merge(order, o.returned, Math::min);
      ConfigurationWrite other = confirmedOn.put(order.base(), order);
      contradictory |= other != null && !other.equals(order);
      shown.add(order.base());
      shown.add(order.revision());
    } else if (o.isRefusal()) {
      refusedByBase.computeIfAbsent(order.base(), b -> new ArrayList<>()).add(o);
      // All orders are valid and above their base: nothing but another base is a cause to refuse
      // one.
      contradictory |= o.status != PRECONDITION_FAILED;
    }
  }

  /**
   * Whether two orders were confirmed on one base, or one refused for no cause that there can be.
   */
  boolean contradictory() {
    return contradictory;
  }

  Set<ConfigurationWrite> on(long base) {
    return byBase.getOrDefault(base, Set.of());
  }

  ConfigurationWrite confirmedOn(long base) {
    return confirmedOn.get(base);
  }

  /**
   * When the order was sent first in a call that was not refused; {@link Operation#NEVER} if all
   * were.
   */
  long invoked(ConfigurationWrite o) {
    return invoked.getOrDefault(o, Operation.NEVER);
  }

  /** When the order was confirmed first; {@link Operation#NEVER} if it was not. */
  long confirmed(ConfigurationWrite o) {
    return confirmed.getOrDefault(o, Operation.NEVER);
  }

  List<Operation> refusedOn(long base) {
    return refusedByBase.getOrDefault(base, List.of());
  }

  List<Operation> reads(long revision) {
    return reads.getOrDefault(revision, List.of());
  }

  /** Whether somebody saw another content under this revision. */
  boolean shownOtherwise(long revision, List<String> content) {
    return reads(revision).stream().anyMatch(r -> !r.content.equals(content));
  }

  /** The least revision above this one that must have been current. */
  long nextShown(long revision) {
    Long next = shown.higher(revision);
    return next == null ? Long.MAX_VALUE : next;
  }
}
