package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what senders and workers have seen of messages against the rules; knows nothing of
 * partitions.
 */
final class MessageInvariantChecker {
  private final SimulatedWorld world;
  final List<String> broken = new ArrayList<>();
  final Map<String, Sent> accepted = new LinkedHashMap<>();
  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, String> nameOf = new HashMap<>();

  /** With no trouble that was not planned, nothing runs again after a success that was read. */
  boolean calm;

  int again;
  int runs;

  static final class Sent {
    final String id;
    final String line;
    final long at;
    final long notBefore;
    final String body;
    long acceptedAt = Long.MAX_VALUE;
    boolean ended;
    boolean read;
    int failures;
    final Set<String> seals = new HashSet<>();

    Sent(String id, String line, long at, long notBefore, String body) {
      this.id = id;
      this.line = line;
      this.at = at;
      this.notBefore = notBefore;
      this.body = body;
    }
  }

  MessageInvariantChecker(SimulatedWorld world) {
    this.world = world;
  }

  void breach(String what) {
    broken.add(world.now() / 1000 + " " + what);
  }

  Sent sent(String id, String line, long delay, String body) {
    Sent s = new Sent(id, line, world.now(), world.now() + delay, body);
    sent.put(id, s);
    return s;
  }

  /** A 202, with the name that it gave. */
  void accepted(Sent s, String operation, String name) {
    if (operation != null) {
      String first = nameOf.putIfAbsent(operation, name);
      if (first != null && !first.equals(name)) {
        breach("operation " + operation + " is " + first + " and " + name);
      }
    }
    Sent kept = sent.get(name);
    if (kept == null) {
      breach("accepted under a name never sent: " + name);
      return;
    }
    kept.acceptedAt = Math.min(kept.acceptedAt, world.now());
    accepted.putIfAbsent(name, kept);
  }

  /** Told that it was not taken and never will be. */
  void refused(Sent s) {
    s.acceptedAt = Long.MIN_VALUE;
  }

  void began(String id) {
    runs++;
    Sent s = sent.get(id);
    if (s == null) {
      breach("a worker gets what nobody sent: " + id);
      return;
    }
    if (s.acceptedAt == Long.MIN_VALUE) {
      breach("REFUSED " + id + " runs though it was refused");
    }
    if (world.now() < s.notBefore) {
      breach("EARLY " + id);
    }
    if (s.read) {
      again++;
      if (calm) {
        breach("TWICE " + id);
      }
    }
    if (s.line != null) {
      for (Sent o : accepted.values()) {
        if (o != s && s.line.equals(o.line) && o.acceptedAt < s.at && !o.ended) {
          breach("ORDER " + id + " begins before the end of " + o.id);
        }
      }
    }
  }

  void succeeded(String id, String seal) {
    Sent s = sent.get(id);
    s.ended = true;
    s.seals.add(seal);
  }

  void read(String id) {
    sent.get(id).read = true;
  }

  void refusedForGood(String id) {
    sent.get(id).ended = true;
  }

  void failed(String id, int most) {
    Sent s = sent.get(id);
    s.failures++;
    s.ended |= s.failures >= most;
  }

  void state(Sent s, String state, String seal) {
    if (state == null) {
      breach("LOST " + s.id + ": unknown at the end");
    } else if (state.equals("COMPLETED") && !s.seals.contains(seal)) {
      breach("MIXED " + s.id + " completed with a seal that no run gave");
    } else if (state.equals("DEAD_LETTER") && !s.ended) {
      breach("MIXED " + s.id + " is dead and has not ended");
    }
  }

  void body(Sent s, String bytes) {
    if (!s.body.equals(bytes)) {
      breach("MIXED bytes of " + s.id);
    }
  }
}
