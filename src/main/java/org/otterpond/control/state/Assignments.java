package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;

/**
 * Who holds what, as the core has written it: message partitions, key ranges, machines to be
 * emptied. Each change has the next number, which is the same on every copy, as all apply the same
 * entries in the same order.
 */
public final class Assignments {
  public static final String KIND = "assign";

  private final Map<String, WireRecord> entries = new LinkedHashMap<>();
  private long number;

  public long number() {
    return number;
  }

  public WireRecord get(String key) {
    return entries.get(key);
  }

  public Map<String, WireRecord> all() {
    return entries;
  }

  /** Those whose keys begin so and that stand. */
  public List<WireRecord> under(String prefix) {
    List<WireRecord> out = new ArrayList<>();
    entries.forEach(
        (k, f) -> {
          if (k.startsWith(prefix) && !f.truth("gone")) {
            out.add(f);
          }
        });
    return out;
  }

  public WireRecord apply(WireRecord entry) {
    WireRecord f = new WireRecord(KIND);
    entry.fields().forEach(f::with);
    f.with("no", ++number);
    // The newest stand last, so that what is newer than a number is found at the end.
    entries.remove(f.text("key"));
    entries.put(f.text("key"), f);
    return f;
  }

  public List<WireRecord> newerThan(long known) {
    List<WireRecord> out = new ArrayList<>();
    for (WireRecord f : entries.values()) {
      if (f.number("no") > known) {
        out.add(f);
      }
    }
    return out;
  }

  public WireRecord snapshot() {
    return new WireRecord("assignments")
        .with("number", number)
        .withRecords("entries", entries.values());
  }

  void load(WireRecord state) {
    entries.clear();
    number = 0;
    if (state != null) {
      number = state.number("number");
      state.records("entries").forEach(f -> entries.put(f.text("key"), f));
    }
  }

  public Assignments copy() {
    Assignments a = new Assignments();
    a.number = number;
    a.entries.putAll(entries);
    return a;
  }
}
