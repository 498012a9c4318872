package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;

/**
 * The replicated state: the newest configuration, what was taken before it, the claims of operation
 * keys, and the workers as last written, from which a system that has lost every process goes on
 * before the workers beat again.
 */
public final class ReplicatedState {
  private static final long ENDED_KEPT = 60_000_000;

  private record Known(WireRecord worker, long since) {}

  private final long windowMicros;

  private long revision;
  private CompressedText text;
  private final AppliedChanges taken = new AppliedChanges();
  private final Map<String, Known> workers = new LinkedHashMap<>();
  private final LinkedHashMap<String, IdempotencyKeyLock> claims = new LinkedHashMap<>();
  private final Assignments assignments = new Assignments();

  /** One text for each node, however many claims it has. */
  private final Map<String, String> holders = new HashMap<>();

  public ReplicatedState(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  public long revision() {
    return revision;
  }

  public CompressedText text() {
    return text;
  }

  /** The workers as last written, those that have ended among them for a while. */
  public List<WireRecord> workers() {
    List<WireRecord> out = new ArrayList<>();
    workers.values().forEach(k -> out.add(k.worker()));
    return out;
  }

  public Assignments assignments() {
    return assignments;
  }

  public int claimCount() {
    return claims.size();
  }

  public IdempotencyKeyLock claim(String key) {
    return claims.get(key);
  }

  /** The changes that were taken before, so that one sent again is known. */
  public AppliedChanges taken() {
    return taken;
  }

  public void apply(WireRecord entry, long now) {
    switch (entry.kind()) {
      case "claim" -> {
        claims.remove(entry.text("key"));
        put(entry.text("key"), entry.text("token"), entry.text("holder"), now);
      }
      case "free" -> {
        IdempotencyKeyLock c = claims.get(entry.text("key"));
        if (c != null && c.token().equals(entry.text("token"))) {
          claims.remove(entry.text("key"));
        }
      }
      case "config" -> {
        revision = entry.number("rev");
        text = CompressedText.of(entry);
        taken.add(revision, entry.text("digest"));
      }
      case "worker" -> workers.put(entry.text("id"), new Known(entry, now));
      case Assignments.KIND -> assignments.apply(entry);
      default -> throw new IllegalArgumentException("no such entry: " + entry.kind());
    }
  }

  private void put(String key, String token, String holder, long now) {
    String at = holder == null ? "" : holder;
    claims.put(key, new IdempotencyKeyLock(token, holders.computeIfAbsent(at, h -> h), now));
  }

  /**
   * Forgets claims whose window has passed. Claims stand in the order in which they were learnt.
   */
  public void expire(long now) {
    workers
        .values()
        .removeIf(
            k ->
                now - k.since() > ENDED_KEPT
                    && WorkerState.valueOf(k.worker().text("state")).compareTo(WorkerState.LOST)
                        >= 0);
    Iterator<Map.Entry<String, IdempotencyKeyLock>> it = claims.entrySet().iterator();
    while (it.hasNext()) {
      IdempotencyKeyLock c = it.next().getValue();
      if (now - c.since() <= windowMicros) {
        return;
      }
      it.remove();
    }
  }

  /** The whole of it. */
  public WireRecord snapshot() {
    List<Object> keys = new ArrayList<>(claims.size() * 3);
    claims.forEach(
        (k, c) -> {
          keys.add(k);
          keys.add(c.token());
          keys.add(c.holder());
        });
    return CompressedText.put(text, new WireRecord("state").with("rev", revision))
        .with("taken", taken.pack())
        .withRecords("workers", workers())
        .with("claims", keys)
        .with("assignments", assignments.number() == 0 ? null : assignments.snapshot());
  }

  /** Replaces everything; windows of the claims begin anew. */
  public void load(WireRecord state, long now) {
    revision = state.number("rev");
    text = CompressedText.of(state);
    taken.load(state.bytes("taken"));
    workers.clear();
    state.records("workers").forEach(w -> workers.put(w.text("id"), new Known(w, now)));
    assignments.load(state.nested("assignments"));
    claims.clear();
    List<Object> keys = state.list("claims");
    for (int i = 0; i + 2 < keys.size(); i += 3) {
      put((String) keys.get(i), (String) keys.get(i + 1), (String) keys.get(i + 2), now);
    }
  }
}
