package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.signal.Flag;

/**
 * The replicated state: the newest configuration, what was taken before it, the claims of operation
 * keys, and the workers as last written, from which a system that has lost every process goes on
 * before the workers beat again.
 */
final class Hold {
  private static final long ENDED_KEPT = 60_000_000;

  private record Known(Flag worker, long since) {}

  private final long windowMicros;

  private long revision;
  private PackedText text;
  private final TakenChanges taken = new TakenChanges();
  private final Map<String, Known> workers = new LinkedHashMap<>();
  private final LinkedHashMap<String, Claim> claims = new LinkedHashMap<>();
  private final Assignments assignments = new Assignments();

  /** One text for each node, however many claims it has. */
  private final Map<String, String> holders = new HashMap<>();

  Hold(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  long revision() {
    return revision;
  }

  PackedText text() {
    return text;
  }

  /** The workers as last written, those that have ended among them for a while. */
  List<Flag> workers() {
    List<Flag> out = new ArrayList<>();
    workers.values().forEach(k -> out.add(k.worker()));
    return out;
  }

  Assignments assignments() {
    return assignments;
  }

  int claimCount() {
    return claims.size();
  }

  Claim claim(String key) {
    return claims.get(key);
  }

  /** The changes that were taken before, so that one sent again is known. */
  TakenChanges taken() {
    return taken;
  }

  void apply(Flag entry, long now) {
    switch (entry.kind()) {
      case "claim" -> {
        claims.remove(entry.text("key"));
        put(entry.text("key"), entry.text("token"), entry.text("holder"), now);
      }
      case "free" -> {
        Claim c = claims.get(entry.text("key"));
        if (c != null && c.token().equals(entry.text("token"))) {
          claims.remove(entry.text("key"));
        }
      }
      case "config" -> {
        revision = entry.number("rev");
        text = PackedText.of(entry);
        taken.add(revision, entry.text("digest"));
      }
      case "worker" -> workers.put(entry.text("id"), new Known(entry, now));
      case Assignments.KIND -> assignments.apply(entry);
      default -> throw new IllegalArgumentException("no such entry: " + entry.kind());
    }
  }

  private void put(String key, String token, String holder, long now) {
    String at = holder == null ? "" : holder;
    claims.put(key, new Claim(token, holders.computeIfAbsent(at, h -> h), now));
  }

  /**
   * Forgets claims whose window has passed. Claims stand in the order in which they were learnt.
   */
  void expire(long now) {
    workers
        .values()
        .removeIf(
            k ->
                now - k.since() > ENDED_KEPT
                    && VesselState.valueOf(k.worker().text("state")).compareTo(VesselState.LOST)
                        >= 0);
    Iterator<Map.Entry<String, Claim>> it = claims.entrySet().iterator();
    while (it.hasNext()) {
      Claim c = it.next().getValue();
      if (now - c.since() <= windowMicros) {
        return;
      }
      it.remove();
    }
  }

  /** The whole of it. */
  Flag snapshot() {
    List<Object> keys = new ArrayList<>(claims.size() * 3);
    claims.forEach(
        (k, c) -> {
          keys.add(k);
          keys.add(c.token());
          keys.add(c.holder());
        });
    return PackedText.put(text, new Flag("state").with("rev", revision))
        .with("taken", taken.pack())
        .withFlags("workers", workers())
        .with("claims", keys)
        .with("assignments", assignments.number() == 0 ? null : assignments.snapshot());
  }

  /** Replaces everything; windows of the claims begin anew. */
  void load(Flag state, long now) {
    revision = state.number("rev");
    text = PackedText.of(state);
    taken.load(state.bytes("taken"));
    workers.clear();
    state.flags("workers").forEach(w -> workers.put(w.text("id"), new Known(w, now)));
    assignments.load(state.flag("assignments"));
    claims.clear();
    List<Object> keys = state.list("claims");
    for (int i = 0; i + 2 < keys.size(); i += 3) {
      put((String) keys.get(i), (String) keys.get(i + 1), (String) keys.get(i + 2), now);
    }
  }
}
