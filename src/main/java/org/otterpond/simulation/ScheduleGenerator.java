package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Generates random schedules. Which faults exceed the fault budget is decided when they are
 * injected, as only then the primary is known.
 */
final class ScheduleGenerator {
  private static final long LOW_BYTES_PER_SECOND = 400_000;
  private static final int MAX_ZONES = 3;
  private static final int MAX_FAULT_SEED = 1_000_000;
  private static final long FIRST_FAULT_MILLIS = 500;

  /** Two faults that are near each other begin within this time. */
  private static final int NEARBY_MILLIS = 1_500;

  /**
   * What all schedules of a generator have in common.
   *
   * @param coreSize the number of nodes with a disk
   * @param maxFailures how many machines may be impaired at once
   * @param edgeSize the number of nodes without a disk
   * @param maxEdgeFailures how many nodes without a disk may be impaired beside them; 0 counts all
   *     machines together
   * @param seconds the duration of each schedule in simulated time
   * @param kinds the kinds of faults to draw from
   * @param writeStorms whether one schedule in four has a write storm
   */
  record Settings(
      int coreSize,
      int maxFailures,
      int edgeSize,
      int maxEdgeFailures,
      int seconds,
      Set<Fault.Kind> kinds,
      boolean writeStorms) {}

  private final Settings settings;
  private final List<Fault.Kind> kinds;

  ScheduleGenerator(Settings settings) {
    this.settings = settings;
    this.kinds = List.copyOf(settings.kinds());
  }

  /** Generates the schedule of a seed. */
  Schedule generate(long seed) {
    Random random = new Random(seed * 31 + 7);
    List<Fault> faults = generateFaults(random);
    int zones = 1 + random.nextInt(MAX_ZONES);
    long edgeBytesPerSecond = random.nextInt(3) == 0 ? LOW_BYTES_PER_SECOND : 0;
    boolean writeStorm = random.nextInt(4) == 0 && settings.writeStorms();
    return new Schedule(
        seed,
        settings.coreSize(),
        settings.maxFailures(),
        settings.edgeSize(),
        settings.maxEdgeFailures(),
        zones,
        edgeBytesPerSecond,
        writeStorm,
        settings.seconds(),
        faults);
  }

  private List<Fault> generateFaults(Random random) {
    List<Fault> faults = new ArrayList<>();
    int spreadMillis = Math.max(1, settings.seconds() * 1000 - 1000);
    // Enough faults that the fault budget is used up nearly all the time.
    int count = kinds.isEmpty() ? 0 : settings.seconds() * (1 + settings.maxFailures()) / 3;
    long previousMillis = 0;
    for (int i = 0; i < count; i++) {
      // Half of the faults begin soon after another one: what is harmless alone may not be so in
      // combination.
      long atMillis =
          i > 0 && random.nextBoolean()
              ? previousMillis + random.nextInt(NEARBY_MILLIS)
              : FIRST_FAULT_MILLIS + random.nextInt(spreadMillis);
      faults.add(generateFault(atMillis, random));
      previousMillis = atMillis;
    }
    faults.sort(Comparator.comparingLong(Fault::atMillis));
    return faults;
  }

  private Fault generateFault(long atMillis, Random random) {
    Fault.Kind kind = kinds.get(random.nextInt(kinds.size()));
    long durationMillis = randomDurationMillis(random);
    return new Fault(
        kind, atMillis, durationMillis, randomTarget(kind, random), random.nextInt(MAX_FAULT_SEED));
  }

  /** Just below and just above the time-outs of the cluster, and at times longer. */
  private static long randomDurationMillis(Random random) {
    return switch (random.nextInt(4)) {
      case 0 -> 100 + random.nextInt(700);
      case 1 -> 500 + random.nextInt(1_000);
      case 2 -> 1_000 + random.nextInt(2_000);
      default -> 2_000 + random.nextInt(6_000);
    };
  }

  private String randomTarget(Fault.Kind kind, Random random) {
    int draw = random.nextInt(20);
    boolean hasEdge = settings.edgeSize() > 0;
    if (kind.isNetworkFault() && hasEdge && random.nextInt(3) == 0) {
      return randomEdgeNode(random);
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
    boolean needsDisk = kind == Fault.Kind.WIPE || kind == Fault.Kind.DISK;
    return draw < 17 || !hasEdge || needsDisk
        ? "d" + (1 + random.nextInt(settings.coreSize())) + ":1"
        : randomEdgeNode(random);
  }

  private String randomEdgeNode(Random random) {
    return "n" + (1 + random.nextInt(settings.edgeSize())) + ":1";
  }
}
