package org.otterpond.replication;

/** Counts the writes that must end before the oldest segment of the log can be removed. */
public interface RewriteListener {
  /** A write begins. */
  void begun();

  /**
   * A write has ended.
   *
   * @param durable whether the record is durable; if not the old segment is still needed
   */
  void ended(boolean durable);
}
