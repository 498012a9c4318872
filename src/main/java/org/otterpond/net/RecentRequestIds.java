package org.otterpond.net;

/**
 * The last few requests that a connection carried, by their ids. A worker may answer a request a
 * second time, later, and a request that comes back under its id would take that answer for its
 * own.
 */
final class RecentRequestIds {
  private static final int KEPT = 32;

  private final int[] hashes = new int[KEPT];
  private int count;

  void add(String id) {
    if (id != null) {
      hashes[count++ % KEPT] = id.hashCode();
    }
  }

  /** Whether it may be among them: two ids of one hash cost a connection, never an answer. */
  boolean mayHold(String id) {
    if (id == null) {
      return false;
    }
    for (int i = 0; i < Math.min(count, KEPT); i++) {
      if (hashes[i] == id.hashCode()) {
        return true;
      }
    }
    return false;
  }
}
