package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Operators who change the configuration at once, on one base, and others who read it. */
final class ConcurrentOperators {
  private static final int MOST_AT_ONCE = 8;
  private static final int MOST_TRIES = 6;
  private static final int WIDE = 90_000;

  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  private final OperatorClient calls;
  private final Random random;
  private final boolean storm;
  private boolean going = true;
  private int number;

  ConcurrentOperators(SimulatedCluster fleet, OperatorClient calls, Random random, boolean storm) {
    this.fleet = fleet;
    this.world = fleet.world;
    this.calls = calls;
    this.random = random;
    this.storm = storm;
    calls.onConfirmed =
        () -> {
          // Somebody who has waited for it goes on at once.
          if (going && random.nextInt(4) == 0) {
            world.at(random.nextInt(10_000), this::race);
          }
        };
  }

  void start() {
    world.at(0, this::next);
    world.at(0, this::reads);
  }

  void stop() {
    going = false;
  }

  private void next() {
    if (!going) {
      return;
    }
    race();
    long pause = storm ? 20_000 + random.nextInt(120_000) : 60_000 + random.nextInt(700_000);
    world.at(pause, this::next);
  }

  private void reads() {
    if (going) {
      calls.read();
      world.at(20_000 + random.nextInt(200_000), this::reads);
    }
  }

  private void race() {
    long base = calls.seen();
    if (base > 0 && random.nextInt(12) == 0) {
      // Somebody who has not looked for a while.
      base -= random.nextInt((int) Math.min(base, 4));
    }
    int count = storm && random.nextInt(4) > 0 ? 1 : 2 + random.nextInt(MOST_AT_ONCE - 1);
    long revision = base + 1 + random.nextInt(3);
    List<ConfigurationWrite> orders = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      orders.add(
          i > 0 && random.nextInt(3) == 0 ? orders.get(random.nextInt(i)) : order(base, revision));
    }
    boolean apart = random.nextInt(4) == 0;
    for (ConfigurationWrite o : orders) {
      world.at(random.nextInt(apart ? 1_500_000 : 30_000), () -> calls.send(o, MOST_TRIES));
    }
  }

  /** Mostly under the one number; a change only where there is something to change. */
  private ConfigurationWrite order(long base, long revision) {
    long own = random.nextInt(4) == 0 ? revision + 1 + random.nextInt(2) : revision;
    String marker = "o" + ++number;
    fleet.checker.sent(own);
    return base > 0 && random.nextInt(2) == 0
        ? ConfigurationWrite.modify(base, own, marker)
        : ConfigurationWrite.replace(base, own, marker, random.nextInt(10) == 0 ? padding() : "");
  }

  /** Does not pack well, so a large change is large on the links as well. */
  private String padding() {
    StringBuilder out = new StringBuilder();
    while (out.length() < WIDE) {
      out.append(Long.toString(random.nextLong() >>> 1, 36));
    }
    return out.toString();
  }

  /** One order alone on the newest revision that was seen. */
  ConfigurationWrite alone() {
    ConfigurationWrite o = order(calls.seen(), calls.seen() + 1);
    calls.send(o, MOST_TRIES);
    return o;
  }
}
