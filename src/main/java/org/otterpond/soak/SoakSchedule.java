package org.otterpond.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The disturbances of one seed: series of one kind each, up to three of which overlap. Every third
 * seed has planned work only, as no response may be lost around that.
 */
final class SoakSchedule {
  private static final int PLANNED_ONLY_EVERY = 3;
  private static final int MEAN_SERIES_MILLIS = 2_500;
  private static final int MAX_OVERLAPPING = 3;
  private static final int MAX_SERIES_LENGTH = 4;
  private static final int MIN_GAP_MILLIS = 80;
  private static final int MAX_GAP_MILLIS = 900;
  private static final int MIN_DURATION_MILLIS = 100;
  private static final int MAX_DURATION_MILLIS = 2_200;
  private static final int MAX_TARGET = 1 << 16;

  private SoakSchedule() {}

  /** Returns the schedule of a seed in the order of time. */
  static List<Disturbance> of(long seed, int seconds) {
    Random random = new Random(seed);
    List<Disturbance> schedule = new ArrayList<>();
    int endMillis = seconds * 1_000;
    List<Disturbance.Kind> kinds = kinds(seed);
    int overlapping = 1 + random.nextInt(MAX_OVERLAPPING);
    for (int lane = 0; lane < overlapping; lane++) {
      int atMillis = random.nextInt(MEAN_SERIES_MILLIS);
      while (atMillis < endMillis) {
        atMillis =
            addSeries(
                schedule, kinds.get(random.nextInt(kinds.size())), random, atMillis, endMillis);
        atMillis += random.nextInt(2 * MEAN_SERIES_MILLIS);
      }
    }
    schedule.sort(Comparator.comparingInt(Disturbance::atMillis));
    return schedule;
  }

  private static List<Disturbance.Kind> kinds(long seed) {
    List<Disturbance.Kind> all = List.of(Disturbance.Kind.values());
    return seed % PLANNED_ONLY_EVERY == 0
        ? all.stream().filter(Disturbance.Kind::isPlanned).toList()
        : all;
  }

  private static int addSeries(
      List<Disturbance> schedule,
      Disturbance.Kind kind,
      Random random,
      int beginMillis,
      int endMillis) {
    int atMillis = beginMillis;
    int length = 1 + random.nextInt(MAX_SERIES_LENGTH);
    for (int i = 0; i < length && atMillis < endMillis; i++) {
      int duration = between(random, MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
      schedule.add(new Disturbance(kind, atMillis, random.nextInt(MAX_TARGET), duration));
      atMillis += between(random, MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return atMillis;
  }

  private static int between(Random random, int low, int high) {
    return low + random.nextInt(high - low);
  }
}
