package org.otterpond.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The outcomes of keyed operations that this node has forwarded, stored for repeats. The core knows
 * which node has one; a repeat that arrives elsewhere fetches it from here.
 *
 * <p>Bounded by age and bytes, the oldest go first. A repeat whose outcome has been dropped gets a
 * response that promises nothing.
 */
final class IdempotentResponseCache {
  private static final int ENTRY_OVERHEAD_BYTES = 400;

  private record Entry(String token, RunOutcome outcome, long storedAtMicros, int bytes) {}

  private final long retentionMicros;
  private final long maxBytes;
  private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
  private long totalBytes;

  IdempotentResponseCache(long retentionMicros, long maxBytes) {
    this.retentionMicros = retentionMicros;
    this.maxBytes = maxBytes;
  }

  void put(String key, String token, RunOutcome outcome, long nowMicros) {
    Entry replaced = entries.remove(key);
    totalBytes -= replaced == null ? 0 : replaced.bytes();
    Entry entry = new Entry(token, outcome, nowMicros, sizeOf(outcome));
    entries.put(key, entry);
    totalBytes += entry.bytes();
    evict(nowMicros);
  }

  private static int sizeOf(RunOutcome outcome) {
    int bodyBytes =
        outcome instanceof RunOutcome.StoredResponse response ? response.body().length : 0;
    return ENTRY_OVERHEAD_BYTES + bodyBytes;
  }

  private void evict(long nowMicros) {
    Iterator<Map.Entry<String, Entry>> oldestFirst = entries.entrySet().iterator();
    while (oldestFirst.hasNext()) {
      Entry oldest = oldestFirst.next().getValue();
      if (nowMicros - oldest.storedAtMicros() <= retentionMicros && totalBytes <= maxBytes) {
        return;
      }
      totalBytes -= oldest.bytes();
      oldestFirst.remove();
    }
  }

  /** Returns the outcome of the execution under that lock, or null. */
  RunOutcome get(String key, String token) {
    Entry entry = entries.get(key);
    return entry != null && entry.token().equals(token) ? entry.outcome() : null;
  }
}
