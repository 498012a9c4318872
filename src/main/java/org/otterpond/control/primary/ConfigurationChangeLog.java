package org.otterpond.control.primary;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.ConfigurationChange;

/**
 * The newest changes of the configuration, each applied to the one before. A node that is a few
 * revisions behind is sent these in place of the complete text.
 */
final class ConfigurationChangeLog {
  private static final int MAX_CHANGES = 32;
  private static final int MAX_BYTES = 256 * 1024;

  private final ArrayDeque<ConfigurationChange> changes = new ArrayDeque<>();
  private int bytes;

  /**
   * Appends a change. One that does not apply to the newest revision of the log empties it first.
   */
  void add(long baseRevision, long revision, CompressedBytes modification) {
    if (!changes.isEmpty() && changes.peekLast().revision() != baseRevision) {
      clear();
    }
    changes.add(new ConfigurationChange(baseRevision, revision, modification));
    bytes += modification.length();
    while (changes.size() > MAX_CHANGES || bytes > MAX_BYTES) {
      bytes -= changes.poll().modification().length();
    }
  }

  /** Removes all changes. */
  void clear() {
    changes.clear();
    bytes = 0;
  }

  /**
   * Returns the changes that lead from one revision to another, in their order.
   *
   * @param maxBytes compressed length that all of them together must stay below
   * @return the changes; none if some are not known, if they are too long, or if {@code from} is 0,
   *     as there is nothing then that they could be applied to
   */
  List<ConfigurationChange> between(long from, long to, long maxBytes) {
    List<ConfigurationChange> path = new ArrayList<>();
    long revision = from;
    long length = 0;
    for (ConfigurationChange change : changes) {
      if (change.baseRevision() == revision) {
        path.add(change);
        revision = change.revision();
        length += change.modification().length();
      }
    }
    return from > 0 && revision == to && length < maxBytes ? path : List.of();
  }
}
