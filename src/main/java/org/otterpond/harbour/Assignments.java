package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.signal.Flag;

/**
 * Who holds what, as the core has written it: message partitions, key ranges, machines to be
 * emptied. Each change has the next number, which is the same on every copy, as all apply the same
 * entries in the same order.
 */
public final class Assignments {
  static final String KIND = "assign";

  private final Map<String, Flag> entries = new LinkedHashMap<>();
  private long number;

  long number() {
    return number;
  }

  Flag get(String key) {
    return entries.get(key);
  }

  Map<String, Flag> all() {
    return entries;
  }

  /** Those whose keys begin so and that stand. */
  List<Flag> under(String prefix) {
    List<Flag> out = new ArrayList<>();
    entries.forEach(
        (k, f) -> {
          if (k.startsWith(prefix) && !f.truth("gone")) {
            out.add(f);
          }
        });
    return out;
  }

  Flag apply(Flag entry) {
    Flag f = new Flag(KIND);
    entry.fields().forEach(f::with);
    f.with("no", ++number);
    // The newest stand last, so that what is newer than a number is found at the end.
    entries.remove(f.text("key"));
    entries.put(f.text("key"), f);
    return f;
  }

  List<Flag> newerThan(long known) {
    List<Flag> out = new ArrayList<>();
    for (Flag f : entries.values()) {
      if (f.number("no") > known) {
        out.add(f);
      }
    }
    return out;
  }

  Flag snapshot() {
    return new Flag("assignments").with("number", number).withFlags("entries", entries.values());
  }

  void load(Flag state) {
    entries.clear();
    number = 0;
    if (state != null) {
      number = state.number("number");
      state.flags("entries").forEach(f -> entries.put(f.text("key"), f));
    }
  }

  Assignments copy() {
    Assignments a = new Assignments();
    a.number = number;
    a.entries.putAll(entries);
    return a;
  }
}
