package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Draws schedules. The bound on machines lost at once is kept when they are played, as who leads is
 * known only then.
 */
final class ScheduleGenerator {
  private static final long NARROW = 400_000;

  private final int core;
  private final int faults;
  private final int edge;
  private final int edgeFaults;
  private final int seconds;
  private final boolean storms;
  private final List<Fault.Kind> kinds;

  ScheduleGenerator(
      int core,
      int faults,
      int edge,
      int edgeFaults,
      int seconds,
      Set<Fault.Kind> kinds,
      boolean storms) {
    this.core = core;
    this.faults = faults;
    this.edge = edge;
    this.edgeFaults = edgeFaults;
    this.seconds = seconds;
    this.storms = storms;
    this.kinds = List.copyOf(kinds);
  }

  Schedule make(long seed) {
    Random r = new Random(seed * 31 + 7);
    List<Fault> entries = new ArrayList<>();
    // Enough that the bound on losses is used up nearly all the time.
    int count = kinds.isEmpty() ? 0 : seconds * (1 + faults) / 3;
    long last = 0;
    for (int i = 0; i < count; i++) {
      // One in two comes close upon another, as what is harmless alone may not be so together.
      long at =
          i > 0 && r.nextBoolean()
              ? last + r.nextInt(1_500)
              : 500 + r.nextInt(Math.max(1, seconds * 1000 - 1000));
      entries.add(fault(at, r));
      last = at;
    }
    entries.sort(Comparator.comparingLong(Fault::atMillis));
    int zones = 1 + r.nextInt(3);
    long width = r.nextInt(3) == 0 ? NARROW : 0;
    return new Schedule(
        seed,
        core,
        faults,
        edge,
        edgeFaults,
        zones,
        width,
        r.nextInt(4) == 0 && storms,
        seconds,
        entries);
  }

  private Fault fault(long at, Random r) {
    Fault.Kind kind = kinds.get(r.nextInt(kinds.size()));
    // Just below and just above the times in which the others notice, and at times longer.
    long length =
        switch (r.nextInt(4)) {
          case 0 -> 100 + r.nextInt(700);
          case 1 -> 500 + r.nextInt(1_000);
          case 2 -> 1_000 + r.nextInt(2_000);
          default -> 2_000 + r.nextInt(6_000);
        };
    return new Fault(kind, at, length, machine(kind, r), r.nextInt(1_000_000));
  }

  private String machine(Fault.Kind kind, Random r) {
    int draw = r.nextInt(20);
    boolean cut = kind == Fault.Kind.CUT || kind == Fault.Kind.HOLD || kind == Fault.Kind.ONE_WAY;
    if (cut && edge > 0 && r.nextInt(3) == 0) {
      return "n" + (1 + r.nextInt(edge)) + ":1";
    }
    if (kind == Fault.Kind.POWER && draw < 8) {
      return Fault.ALL;
    }
    if (draw < 9) {
      return Fault.PRIMARY;
    }
    if (draw < 13) {
      return Fault.BACKUP;
    }
    if (draw < 17 || edge == 0 || kind == Fault.Kind.WIPE || kind == Fault.Kind.DISK) {
      return "d" + (1 + r.nextInt(core)) + ":1";
    }
    return "n" + (1 + r.nextInt(edge)) + ":1";
  }
}
