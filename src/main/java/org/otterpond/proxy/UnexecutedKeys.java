package org.otterpond.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The claims of this node whose requests ended without a run, for as long as the ledger may hold
 * one of them. A claim is sent again while it is unanswered, so a copy may be granted after the
 * claim was freed, or the word that frees it may be lost; whoever then asks here learns that there
 * was no run, and need not wait the window out.
 */
final class UnexecutedKeys {
  private final long windowMicros;
  private final LinkedHashMap<String, Long> endedAt = new LinkedHashMap<>();

  UnexecutedKeys(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  /** Its request has ended: nothing went to a worker under this claim, and nothing will. */
  void add(String token, long now) {
    endedAt.put(token, now);
    Iterator<Map.Entry<String, Long>> it = endedAt.entrySet().iterator();
    while (it.hasNext() && now - it.next().getValue() > windowMicros) {
      it.remove();
    }
  }

  boolean holds(String token) {
    return endedAt.containsKey(token);
  }
}
