package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/** Finds the keys of a range that are best moved to another worker. */
final class HotKeys {
  /** A piece with less than this part of the wanted rate is not worth moving. */
  private static final double LEAST_PART = 0.15;

  /** Moving a piece costs as much as this many keys more in it. */
  private static final int MOVE_COST_KEYS = 16;

  private final List<Map.Entry<Integer, KeyRate>> keys;
  private Piece best;
  private double bestScore;

  /**
   * Neighbouring keys.
   *
   * @param firstKey the first of them
   * @param lastKey the last of them
   */
  record Piece(int firstKey, int lastKey) {
    private int keyCount() {
      return lastKey - firstKey + 1;
    }
  }

  private HotKeys(SortedMap<Integer, KeyRate> requested) {
    keys = new ArrayList<>(requested.entrySet());
  }

  /**
   * Returns neighbouring keys with as high a rate on as few keys as possible: with a rate up to
   * what the receiver has room for, or a single key that is hotter if the receiver still ends up
   * with less load than the giver.
   *
   * @param requested the requested keys of a range
   * @param wantedRate requests per second that the receiver has room for
   * @param singleKeyLimit largest rate of a single key
   * @return the keys, or null if nothing is worth moving
   */
  static Piece find(
      SortedMap<Integer, KeyRate> requested, double wantedRate, double singleKeyLimit) {
    HotKeys search = new HotKeys(requested);
    if (search.keys.size() < 2) {
      return null;
    }
    search.considerSingleKeys(wantedRate, singleKeyLimit);
    search.considerNeighbours(wantedRate);
    return search.best;
  }

  private void considerSingleKeys(double wantedRate, double limit) {
    for (Map.Entry<Integer, KeyRate> entry : keys) {
      double rate = entry.getValue().recent();
      if (rate > wantedRate && rate < limit) {
        consider(new Piece(entry.getKey(), entry.getKey()), rate);
      }
    }
  }

  private void considerNeighbours(double wantedRate) {
    double sum = 0;
    int begin = 0;
    for (int end = 0; end < keys.size(); end++) {
      sum += keys.get(end).getValue().recent();
      while (sum > wantedRate && begin <= end) {
        sum -= keys.get(begin).getValue().recent();
        begin++;
      }
      if (begin > end) {
        sum = 0;
      } else if (sum > LEAST_PART * wantedRate) {
        consider(new Piece(keys.get(begin).getKey(), keys.get(end).getKey()), sum);
      }
    }
  }

  private void consider(Piece piece, double rate) {
    double score = rate / (piece.keyCount() + MOVE_COST_KEYS);
    if (score > bestScore) {
      best = piece;
      bestScore = score;
    }
  }
}
