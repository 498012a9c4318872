package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Says which keys should go elsewhere: pieces of ranges whose owners are asked for more than they
 * can do, as narrow as the heat allows. Few moves, and none where the owners keep up.
 */
final class KeyRangeBalancer {
  private static final long PERIOD = 400_000;

  /**
   * A worker's slots in use, as a part, beyond which it is relieved: seen for a while, and lately.
   */
  private static final double BUSY = 0.8;

  private static final double BUSY_LATELY = 1.15;
  private static final double ABOVE_MEAN = 1.25;

  /** As far as a receiver is filled. */
  private static final double FILL = 0.65;

  /** A piece of less than this part of what is looked for is not worth its move. */
  private static final double LEAST_PIECE = 0.15;

  /** So many keys more weigh as much as the move itself. */
  private static final int WIDTH = 16;

  private static final int MOVES_A_PERIOD = 24;
  private static final int MOST_MOVING = 48;
  private static final long REST = 3_000_000;
  private static final long JOIN_AFTER = 10_000_000;

  /** Even a range that nobody asked for weighs a little, so that cold ranges spread. */
  private static final double COLD_WEIGHT = 0.05;

  private final KeyRangeRuntime host;
  private final KeyRangeManager keeper;
  private final Map<String, Long> lookedAt = new HashMap<>();

  /** One worker with what is asked of it. */
  private static final class Load {
    final KeyRangeRuntime.Worker worker;
    final List<KeyRangeLease> leases = new ArrayList<>();
    double lately;
    double while0;
    double keys;
    int moving;

    Load(KeyRangeRuntime.Worker worker) {
      this.worker = worker;
    }

    double used(double work, boolean recent) {
      return (recent ? lately : while0) * work / Math.max(1, worker.slots());
    }
  }

  KeyRangeBalancer(KeyRangeRuntime host, KeyRangeManager keeper) {
    this.host = host;
    this.keeper = keeper;
  }

  private Map<String, Load> loads(String service) {
    Map<String, Load> out = new HashMap<>();
    for (KeyRangeRuntime.Worker w : host.workers(service)) {
      out.put(w.instance(), new Load(w));
    }
    KeyLoad heat = keeper.heat(service);
    for (KeyRangeLease l : keeper.leases(service).values()) {
      Load o = out.get(l.owner);
      if (o == null) {
        continue;
      }
      int last = keeper.last(l);
      double[] h = heat.in(l.from, last);
      o.lately += h[0];
      o.while0 += h[1];
      o.keys += (last - l.from + 1) / (double) (KeyRange.LAST_KEY + 1);
      if (l.state == KeyRangeState.HELD) {
        o.leases.add(l);
      } else {
        o.moving++;
      }
    }
    return out;
  }

  private double work(String service) {
    double w = keeper.heat(service).work();
    return w > 0 ? w : 0.1;
  }

  /**
   * Who is to have a range that nobody holds: the one with the most room, and of equals the one
   * with fewest keys.
   */
  KeyRangeRuntime.Worker receiver(KeyRangeLease l) {
    Map<String, Load> loads = loads(l.service);
    double work = work(l.service);
    int n = loads.size();
    return loads.values().stream()
        .filter(o -> o.worker.inService() && o.worker.alive())
        .min(Comparator.comparingDouble(o -> weight(o, work, n) + 0.02 * o.moving))
        .map(o -> o.worker)
        .orElse(null);
  }

  private static double weight(Load o, double work, int workers) {
    return Math.max(o.used(work, true), o.used(work, false)) + COLD_WEIGHT * o.keys * workers;
  }

  void tick(String service, long now) {
    if (now - lookedAt.getOrDefault(service, Long.MIN_VALUE / 2) < PERIOD) {
      return;
    }
    lookedAt.put(service, now);
    Map<String, Load> loads = loads(service);
    List<Load> able =
        new ArrayList<>(
            loads.values().stream().filter(o -> o.worker.inService() && o.worker.alive()).toList());
    if (able.size() < 2) {
      return;
    }
    double work = work(service);
    double mean = able.stream().mapToDouble(o -> o.used(work, true)).average().orElse(0);
    int moving =
        (int)
            keeper.leases(service).values().stream()
                .filter(
                    l -> l.state == KeyRangeState.RELEASING || l.state == KeyRangeState.GRANTING)
                .count();
    int moves = Math.min(MOVES_A_PERIOD, MOST_MOVING - moving);
    able.sort(Comparator.comparingDouble(o -> -Math.max(o.used(work, true), o.used(work, false))));
    for (Load o : able) {
      boolean busy =
          o.used(work, false) > BUSY && o.used(work, true) > BUSY / 2
              || o.used(work, true) > BUSY_LATELY && o.lately > 4;
      if (!busy
          || o.used(work, true) < ABOVE_MEAN * mean && o.used(work, false) < ABOVE_MEAN * mean) {
        continue;
      }
      moves -= relieve(service, o, able, work, Math.max(mean, 0.2), now, moves);
      if (moves <= 0) {
        return;
      }
    }
    newcomers(service, able, now, moves);
    tidy(service, able.size(), now);
  }

  /** Cuts the owner's hottest keys into pieces that others have room for. */
  private int relieve(
      String service, Load from, List<Load> able, double work, double mean, long now, int most) {
    KeyLoad heat = keeper.heat(service);
    double slots = Math.max(1, from.worker.slots());
    double excess =
        (Math.max(from.used(work, true), from.used(work, false)) - Math.max(mean, FILL * 0.8))
            * slots
            / work;
    List<Load> room = new ArrayList<>(able);
    room.remove(from);
    room.sort(Comparator.comparingDouble(o -> Math.max(o.used(work, true), o.used(work, false))));
    int moved = 0;
    List<KeyRangeLease> leases = new ArrayList<>(from.leases);
    leases.sort(Comparator.comparingDouble(l -> -hot(heat, l)));
    for (KeyRangeLease l : leases) {
      while (excess > 0 && moved < most && moved < room.size() && l != null) {
        Load to = room.get(moved);
        double free =
            (FILL + Math.max(0, mean - FILL) - Math.max(to.used(work, true), to.used(work, false)))
                * Math.max(1, to.worker.slots())
                / work;
        if (free <= 0 || now - l.movedAt < REST && hot(heat, l) < 2 * free) {
          break;
        }
        double apart =
            (Math.max(from.used(work, true), from.used(work, false))
                    - Math.max(to.used(work, true), to.used(work, false)))
                * slots
                / work;
        int[] piece = piece(heat, l.from, keeper.last(l), Math.min(free, excess), 0.8 * apart);
        if (piece == null) {
          break;
        }
        double taken = heat.in(piece[0], piece[1])[0];
        KeyRangeLease cut = keeper.cut(l, piece[0], piece[1]);
        if (cut == null) {
          break;
        }
        keeper.release(cut);
        to.lately += taken;
        to.while0 += heat.in(piece[0], piece[1])[1];
        excess -= Math.max(taken, 0.1);
        moved++;
        // What is left of this range is looked at again the next time.
        l = cut == l ? null : l;
        if (l != null && (!l.quiet() || l.state != KeyRangeState.HELD)) {
          l = null;
        }
      }
    }
    return moved;
  }

  private double hot(KeyLoad heat, KeyRangeLease l) {
    return heat.in(l.from, keeper.last(l))[0];
  }

  /**
   * Neighbouring keys to give away: as much heat on as few keys as can be had, up to the rate that
   * the receiver has room for; or one key alone that is hotter, if the receiver still ends up with
   * less than the giver. Null if nothing is worth its move.
   */
  private static int[] piece(KeyLoad heat, int from, int last, double rate, double most) {
    List<Map.Entry<Integer, double[]>> keys = new ArrayList<>(heat.of(from, last).entrySet());
    if (keys.size() < 2) {
      return null;
    }
    int[] best = null;
    double bestScore = 0;
    double sum = 0;
    int at = 0;
    for (int i = 0; i < keys.size(); i++) {
      double h = keys.get(i).getValue()[0];
      int key = keys.get(i).getKey();
      if (h > rate && h < most && score(h, 1) > bestScore) {
        best = new int[] {key, key};
        bestScore = score(h, 1);
      }
      sum += h;
      while (sum > rate && at <= i) {
        sum -= keys.get(at++).getValue()[0];
      }
      if (at > i) {
        sum = 0;
        continue;
      }
      int width = key - keys.get(at).getKey() + 1;
      if (sum > LEAST_PIECE * rate && score(sum, width) > bestScore) {
        best = new int[] {keys.get(at).getKey(), key};
        bestScore = score(sum, width);
      }
    }
    return best;
  }

  private static double score(double rate, int width) {
    return rate / (width + WIDTH);
  }

  /** Workers that hold nothing get a part of the widest ranges, one at a time. */
  private void newcomers(String service, List<Load> able, long now, int most) {
    int moves = Math.min(most, 6);
    List<Load> byKeys = new ArrayList<>(able);
    byKeys.sort(Comparator.comparingDouble(o -> -o.keys));
    int next = 0;
    for (Load o : able) {
      if (moves <= 0) {
        return;
      }
      if (!o.leases.isEmpty() || o.moving > 0) {
        continue;
      }
      while (next < byKeys.size()) {
        Load giver = byKeys.get(next++);
        KeyRangeLease widest =
            giver.leases.stream()
                .filter(l -> l.quiet() && now - l.movedAt > REST)
                .max(Comparator.comparingInt(l -> keeper.last(l) - l.from))
                .orElse(null);
        if (widest == null || keeper.last(widest) - widest.from < 2) {
          continue;
        }
        int half = (widest.from + keeper.last(widest)) / 2 + 1;
        KeyRangeLease cut = keeper.cut(widest, half, keeper.last(widest));
        if (cut != null) {
          keeper.release(cut);
          moves--;
          break;
        }
      }
    }
  }

  /** Joins what one worker holds side by side, where there are many ranges and nothing moves. */
  private void tidy(String service, int workers, long now) {
    Map<Integer, KeyRangeLease> all = keeper.leases(service);
    if (all.size() < 3 * workers) {
      return;
    }
    int joined = 0;
    for (KeyRangeLease l : new ArrayList<>(all.values())) {
      if (joined < 4 && now - l.movedAt > JOIN_AFTER && all.get(l.from) == l && keeper.join(l)) {
        joined++;
      }
    }
  }
}
