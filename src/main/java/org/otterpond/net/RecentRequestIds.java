package org.otterpond.net;

/**
 * The ids of the last requests that a connection carried. A worker may respond to a request a
 * second time, later; a request sent again under its id would take that response for its own.
 */
final class RecentRequestIds {
  private static final int CAPACITY = 32;

  private final int[] hashes = new int[CAPACITY];
  private int added;

  void add(String id) {
    if (id != null) {
      hashes[added % CAPACITY] = id.hashCode();
      added++;
    }
  }

  /** Whether the id may be among them. Two ids of one hash cost a connection, never a response. */
  boolean mayContain(String id) {
    if (id == null) {
      return false;
    }
    for (int i = 0; i < Math.min(added, CAPACITY); i++) {
      if (hashes[i] == id.hashCode()) {
        return true;
      }
    }
    return false;
  }
}
