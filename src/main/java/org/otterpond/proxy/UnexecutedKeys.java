package org.otterpond.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The lock tokens of this node whose requests ended without an execution, for as long as the core
 * may have a lock under one of them.
 *
 * <p>A lock request is sent again while it is unanswered, so a duplicate may be granted after the
 * lock was released, or the release may be lost. Whoever then asks here learns that nothing was
 * executed, and need not wait until the lock expires.
 */
final class UnexecutedKeys {
  private final long retentionMicros;
  private final LinkedHashMap<String, Long> endedAtMicros = new LinkedHashMap<>();

  UnexecutedKeys(long retentionMicros) {
    this.retentionMicros = retentionMicros;
  }

  /** Notes that nothing was sent to a worker under this token and nothing will be. */
  void add(String token, long nowMicros) {
    endedAtMicros.put(token, nowMicros);
    Iterator<Map.Entry<String, Long>> oldestFirst = endedAtMicros.entrySet().iterator();
    while (oldestFirst.hasNext() && nowMicros - oldestFirst.next().getValue() > retentionMicros) {
      oldestFirst.remove();
    }
  }

  boolean contains(String token) {
    return endedAtMicros.containsKey(token);
  }
}
