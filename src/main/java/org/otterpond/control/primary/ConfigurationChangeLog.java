package org.otterpond.control.primary;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/**
 * The newest changes of the configuration, each on the one before, as they were given. A node a few
 * versions behind is sent these and not the whole text.
 */
final class ConfigurationChangeLog {
  private static final int MOST = 32;
  private static final int MOST_BYTES = 256 * 1024;

  private final ArrayDeque<WireRecord> changes = new ArrayDeque<>();
  private int bytes;

  /**
   * A change that builds on {@code base}; what does not follow on the newest one begins the log
   * anew.
   */
  void add(long base, long revision, byte[] packed) {
    if (!changes.isEmpty() && changes.peekLast().number("rev") != base) {
      clear();
    }
    changes.add(
        new WireRecord("change").with("base", base).with("rev", revision).with("change", packed));
    bytes += packed.length;
    while (changes.size() > MOST || bytes > MOST_BYTES) {
      bytes -= changes.poll().bytes("change").length;
    }
  }

  void clear() {
    changes.clear();
    bytes = 0;
  }

  /**
   * The changes that lead from one version to another, in their order; none if not all are known or
   * they are long.
   */
  List<WireRecord> between(long from, long to, long longest) {
    List<WireRecord> out = new ArrayList<>();
    long at = from;
    long size = 0;
    for (WireRecord c : changes) {
      if (c.number("base") == at) {
        out.add(c);
        at = c.number("rev");
        size += c.bytes("change").length;
      }
    }
    // Who holds nothing has nothing to change.
    return from > 0 && at == to && size < longest ? out : List.of();
  }
}
