package org.otterpond.messaging;

import java.util.ArrayDeque;
import org.otterpond.protocol.WireRecord;

/**
 * The newest messages of a node in memory, up to so many bytes; the others are read back from the
 * disk.
 */
final class MessageBodyCache {
  private static final int OVERHEAD = 1_000;

  private final long most;
  private long held;
  private final ArrayDeque<Message> kept = new ArrayDeque<>();

  MessageBodyCache(long most) {
    this.most = most;
  }

  void keep(Message m, WireRecord whole) {
    m.whole = whole;
    held += size(whole);
    kept.addLast(m);
    while (held > most || kept.size() > 4_096 && kept.peekFirst().whole == null) {
      Message first = kept.pollFirst();
      drop(first);
    }
  }

  void drop(Message m) {
    if (m.whole != null) {
      held -= size(m.whole);
      m.whole = null;
    }
  }

  private static long size(WireRecord whole) {
    byte[] b = whole.bytes("body");
    return OVERHEAD + (b == null ? 0 : b.length);
  }
}
