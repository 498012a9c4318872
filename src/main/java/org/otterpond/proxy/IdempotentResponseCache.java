package org.otterpond.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.otterpond.protocol.WireRecord;

/**
 * The answers of keyed operations that this node ran, kept for repeats of them: the ledger knows
 * which node holds one, and a repeat met elsewhere fetches it from here. Bounded by age and bytes,
 * the oldest go first; a repeat whose answer has gone gets an answer that promises nothing.
 */
final class IdempotentResponseCache {
  private record Kept(String token, WireRecord answer, long at, int size) {}

  private final long windowMicros;
  private final long byteBound;
  private final LinkedHashMap<String, Kept> kept = new LinkedHashMap<>();
  private long bytes;

  IdempotentResponseCache(long windowMicros, long byteBound) {
    this.windowMicros = windowMicros;
    this.byteBound = byteBound;
  }

  void put(String key, String token, WireRecord answer, long now) {
    byte[] body = answer.bytes("body");
    int size = 400 + (body == null ? 0 : body.length);
    Kept old = kept.remove(key);
    bytes += size - (old == null ? 0 : old.size());
    kept.put(key, new Kept(token, answer, now, size));
    Iterator<Map.Entry<String, Kept>> it = kept.entrySet().iterator();
    while (it.hasNext()) {
      Kept k = it.next().getValue();
      if (now - k.at() <= windowMicros && bytes <= byteBound) {
        return;
      }
      bytes -= k.size();
      it.remove();
    }
  }

  /** The answer of that very run, or null. */
  WireRecord get(String key, String token) {
    Kept k = kept.get(key);
    return k != null && k.token().equals(token) ? k.answer() : null;
  }
}
