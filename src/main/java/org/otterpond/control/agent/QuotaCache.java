package org.otterpond.control.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * This node's tokens of the tenants' quotas, lent by the one owner at the core. A token is used for
 * one run of one request; none is used later than the lending time after it was asked for. The
 * running totals of what is used, given back or expired go with every ask, so the owner knows what
 * may still be out.
 */
public final class QuotaCache {
  private static final long GATHER = 2_000;
  private static final long REPORT = 150_000;
  private static final long ANSWER = 300_000;
  private static final long AGAIN_LEAST = 20_000;
  private static final long AGAIN_MOST = 120_000;
  private static final long PACE = 1_000_000;
  private static final int MOST_SPARE = 8;

  private final NodeRuntime runtime;
  private final ControlPlaneAgent node;
  private final long lentMicros;
  private final Map<String, Shelf> shelves = new LinkedHashMap<>();
  private long term;
  private boolean asking;
  private boolean askDue;
  private boolean reportDue;

  /** Somebody who waits for a token. */
  public interface Taker {
    /** Whether it wants one still. */
    boolean waits();

    void taken();

    void over(double retryAfter);
  }

  private record Lot(long expires, int[] count) {}

  private static final class Shelf {
    final String tenant;
    final ArrayDeque<Lot> lots = new ArrayDeque<>();
    final ArrayDeque<Taker> takers = new ArrayDeque<>();
    long used;
    long returned;
    long reported;
    int recent;
    int pace;
    long paceFrom;
    long lastUse;

    Shelf(String tenant) {
      this.tenant = tenant;
    }

    int held() {
      int n = 0;
      for (Lot l : lots) {
        n += l.count()[0];
      }
      return n;
    }
  }

  QuotaCache(NodeRuntime runtime, ControlPlaneAgent node, long lentMicros) {
    this.runtime = runtime;
    this.node = node;
    this.lentMicros = lentMicros;
  }

  private Shelf shelf(String tenant) {
    return shelves.computeIfAbsent(tenant, Shelf::new);
  }

  /** Uses a token that is here; false if there is none. */
  public boolean take(String tenant) {
    Shelf s = shelf(tenant);
    long now = runtime.now();
    prune(s, now);
    Lot l = s.lots.peekFirst();
    if (l == null) {
      return false;
    }
    if (--l.count()[0] == 0) {
      s.lots.pollFirst();
    }
    s.used++;
    s.lastUse = now;
    if (now - s.paceFrom > PACE) {
      s.pace = now - s.paceFrom > 2 * PACE ? 0 : s.recent;
      s.recent = 0;
      s.paceFrom = now;
    }
    s.recent++;
    reportLater();
    return true;
  }

  /** Gives back a token that was taken for a request which has not run and never will. */
  public void giveBack(String tenant) {
    shelf(tenant).returned++;
  }

  private static void prune(Shelf s, long now) {
    while (!s.lots.isEmpty() && s.lots.peekFirst().expires() <= now) {
      s.used += s.lots.pollFirst().count()[0];
    }
  }

  /** Waits for a token, which is used when the taker is told. */
  public void want(String tenant, Taker taker) {
    Shelf s = shelf(tenant);
    if (s.takers.isEmpty() && take(tenant)) {
      taker.taken();
      return;
    }
    s.takers.addLast(taker);
    askSoon(GATHER);
  }

  private void askSoon(long delay) {
    if (!askDue) {
      askDue = true;
      runtime.after(
          delay,
          () -> {
            askDue = false;
            ask();
          });
    }
  }

  private void reportLater() {
    if (!reportDue) {
      reportDue = true;
      runtime.after(
          REPORT,
          () -> {
            reportDue = false;
            if (shelves.values().stream().anyMatch(s -> s.used != s.reported)) {
              ask();
            }
          });
    }
  }

  /**
   * This node's part of an ask for one tenant: its totals, what it needs and what it would like
   * beside.
   */
  public WireRecord part(String tenant, int need) {
    Shelf s = shelf(tenant);
    prune(s, runtime.now());
    s.reported = s.used;
    // A reserve only where requests come faster than asks would: elsewhere it would mostly expire.
    int spare = Math.max(0, Math.min(MOST_SPARE, Math.max(s.pace, s.recent) / 5) - s.held());
    return new WireRecord("part")
        .with("tenant", tenant)
        .with("used", s.used)
        .with("returned", s.returned)
        .with("need", need)
        .with("spare", spare);
  }

  /** What every ask that carries a part must say. */
  public WireRecord sign(WireRecord ask) {
    return ask.with("life", node.life()).with("term", term);
  }

  private void ask() {
    if (asking) {
      return;
    }
    List<WireRecord> parts = new ArrayList<>();
    for (Shelf s : shelves.values()) {
      s.takers.removeIf(t -> !t.waits());
      if (!s.takers.isEmpty() || s.used != s.reported) {
        parts.add(part(s.tenant, s.takers.size()));
      }
    }
    if (parts.isEmpty()) {
      return;
    }
    asking = true;
    long asked = runtime.now();
    node.ask(
        sign(new WireRecord("ask").with("op", "lend").withRecords("tenants", parts)),
        ANSWER,
        2 * ANSWER,
        r -> {
          asking = false;
          if (r == null) {
            // Whatever was lent is given up: the owner counts it until it expires.
            askSoon(GATHER);
            return;
          }
          long again = Long.MAX_VALUE;
          for (WireRecord lent : r.records("lent")) {
            again = Math.min(again, lent(r.number("term"), lent, asked, true));
          }
          if (again < Long.MAX_VALUE) {
            askSoon(pause(again));
          } else if (shelves.values().stream().anyMatch(s -> !s.takers.isEmpty())) {
            askSoon(GATHER);
          }
        });
  }

  /**
   * Takes in what was lent, and serves those who wait. Returns when to ask again for those who
   * still do.
   */
  public long lent(long ofTerm, WireRecord lent, long asked, boolean serve) {
    if (ofTerm != term) {
      // Another owner: totals begin anew, and what the old one lent is left to expire.
      term = ofTerm;
      shelves
          .values()
          .forEach(
              s -> {
                s.lots.clear();
                s.used = 0;
                s.returned = 0;
                s.reported = 0;
              });
    }
    Shelf s = shelf(lent.text("tenant"));
    int count = (int) lent.number("count");
    if (count > 0) {
      s.lots.addLast(new Lot(asked + lentMicros, new int[] {count}));
    }
    if (!serve) {
      return Long.MAX_VALUE;
    }
    while (!s.takers.isEmpty()) {
      Taker t = s.takers.peekFirst();
      if (!t.waits()) {
        s.takers.pollFirst();
      } else if (take(s.tenant)) {
        s.takers.pollFirst();
        t.taken();
      } else {
        break;
      }
    }
    if (s.takers.isEmpty()) {
      return Long.MAX_VALUE;
    }
    if (lent.truth("over")) {
      double later = retryAfter(lent);
      List<Taker> out = new ArrayList<>(s.takers);
      s.takers.clear();
      out.forEach(t -> t.over(later));
      return Long.MAX_VALUE;
    }
    return lent.number("again");
  }

  /** In how many seconds a caller beyond its quota had best come back, by what the owner said. */
  public static double retryAfter(WireRecord lent) {
    return Math.max(0.3, Math.min(5, lent.number("again") / 1e6));
  }

  /** When to ask again where the owner could lend nothing yet. */
  public static long pause(WireRecord lent) {
    return pause(lent.number("again"));
  }

  private static long pause(long again) {
    return Math.max(AGAIN_LEAST, Math.min(AGAIN_MOST, again));
  }

  /** Gives idle reserves back. */
  public void sweep() {
    long now = runtime.now();
    Iterator<Shelf> it = shelves.values().iterator();
    while (it.hasNext()) {
      Shelf s = it.next();
      prune(s, now);
      // An idle reserve goes back while somebody else may still use it.
      while (!s.lots.isEmpty() && now - s.lastUse > lentMicros / 2) {
        int n = s.lots.pollFirst().count()[0];
        s.used += n;
        s.returned += n;
      }
      if (s.used != s.reported) {
        reportLater();
      }
    }
  }
}
