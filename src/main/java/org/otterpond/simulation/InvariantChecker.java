package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds what was seen from outside against the rules; knows nothing of how the nodes work. */
final class InvariantChecker {
  static final long WINDOW = 60_000_000;

  private final SimulatedWorld world;
  final List<String> broken = new ArrayList<>();
  private final Map<Long, String> leaderOf = new HashMap<>();
  private final Map<Long, Long> forceOfLife = new HashMap<>();
  private final Map<Long, Long> acknowledgedOn = new HashMap<>();
  private final Set<Long> refused = new HashSet<>();
  private final Set<Long> sent = new HashSet<>();
  private long newestAcknowledged;
  private final Map<String, Run> runs = new HashMap<>();
  int grants;
  int acknowledgements;

  private record Run(String token, long at) {}

  /** When a version that lacks the access key was acknowledged. */
  private final Map<String, Long> withdrawn = new HashMap<>();

  private final List<Long> counted = new ArrayList<>();
  int keyRuns;

  InvariantChecker(SimulatedWorld world) {
    this.world = world;
  }

  private void breach(String what) {
    broken.add(world.now() / 1000 + " " + what);
  }

  void started(String node, long life) {
    forceOfLife.put(life, 0L);
  }

  void leads(String node, long epoch) {
    String other = leaderOf.putIfAbsent(epoch, node);
    if (other != null && !other.equals(node)) {
      breach("two leaders in epoch " + epoch + ": " + other + " and " + node);
    }
  }

  void inForce(String node, long life, long revision) {
    long before = forceOfLife.getOrDefault(life, 0L);
    if (revision <= before) {
      breach(node + " went back from " + before + " to " + revision);
    }
    if (refused.contains(revision) || !sent.contains(revision)) {
      breach(node + " serves " + revision + ", which was refused or never sent");
    }
    forceOfLife.put(life, revision);
  }

  void sent(long revision) {
    sent.add(revision);
  }

  void acknowledged(long base, long revision) {
    acknowledgements++;
    Long other = acknowledgedOn.putIfAbsent(base, revision);
    if (other != null && other != revision) {
      breach("two changes acknowledged on " + base + ": " + other + " and " + revision);
    }
    newestAcknowledged = Math.max(newestAcknowledged, revision);
  }

  void refused(long revision) {
    refused.add(revision);
  }

  void readBack(long askedAfter, long revision) {
    if (revision < askedAfter) {
      breach("read " + revision + " though " + askedAfter + " had been acknowledged");
    }
  }

  long newestAcknowledged() {
    return newestAcknowledged;
  }

  void ran(String key, String token) {
    grants++;
    Run before = runs.put(key, new Run(token, world.now()));
    if (before != null && !before.token().equals(token) && world.now() - before.at() < WINDOW) {
      breach("key " + key + " ran twice");
    }
  }

  void disowned(String key, String token) {
    Run r = runs.get(key);
    if (r != null && r.token().equals(token)) {
      runs.remove(key);
    }
  }

  /** A configuration holds the access keys of its own revision and of the one that it builds on. */
  void keysAcknowledged(long base, long revision) {
    for (long old : acknowledgedOn.values()) {
      if (old != base && old != revision) {
        withdrawn.putIfAbsent(keyOf(old), world.now());
      }
    }
  }

  static String keyOf(long revision) {
    return "key-" + revision;
  }

  /** A request under an access key runs that its client sent this moment. */
  void keyRuns(String node, String key, long revokeMicros) {
    keyRuns++;
    Long gone = withdrawn.get(key);
    if (gone != null && world.now() > gone + revokeMicros) {
      breach(
          node
              + " ran under "
              + key
              + " "
              + (world.now() - gone) / 1000
              + " ms after it was withdrawn");
    }
  }

  /** A run that counts against the one quota. */
  void countedRun() {
    counted.add(world.now());
  }

  int countedRuns() {
    return counted.size();
  }

  /** Looks at every window that begins with a run. */
  void checkQuota(double rate, double burst, long window, double excess, double slack) {
    double most = (rate * window / 1e6 + burst) * (1 + excess) + slack;
    int from = 0;
    for (int to = 0; to < counted.size(); to++) {
      while (counted.get(to) - counted.get(from) > window) {
        from++;
      }
      if (to - from + 1 > most) {
        breach(
            "quota: "
                + (to - from + 1)
                + " runs up to "
                + counted.get(to) / 1000
                + ", allowed "
                + most);
        return;
      }
    }
  }
}
