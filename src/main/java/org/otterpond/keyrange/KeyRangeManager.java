package org.otterpond.keyrange;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.otterpond.protocol.WireRecord;

/**
 * The one granter of keys, on the core's primary. An owner and its fence are durable before a grant
 * leaves; a range gets another owner only after the one before has answered a release, or once
 * every grant that it may have got has run out on the slowest clock.
 */
public final class KeyRangeManager {
  private static final long STEP = 100_000;
  private static final long SETTLED = 2_500_000;

  /**
   * Between the word that a range is being released and the release, so that nodes have stopped
   * sending.
   */
  private static final long WORD_FIRST = 40_000;

  private static final long RELEASE_CALL = 5_000_000;
  private static final long RELEASE_AGAIN = 300_000;
  private static final long GRANT_AGAIN = 250_000;
  private static final int CALLS_A_STEP = 64;

  private final KeyRangeRuntime host;
  private final KeyRangeLeaseSettings terms;
  private final Map<String, TreeMap<Integer, KeyRangeLease>> services = new HashMap<>();
  private final Map<String, KeyLoad> heat = new HashMap<>();
  private final KeyRangeBalancer balancer;
  private Set<String> partitioned = Set.of();

  /** For services whose keys nobody has: the workers seen, and since when just those. */
  private final Map<String, Set<String>> seen = new HashMap<>();

  private final Map<String, Long> seenAt = new HashMap<>();
  private long steppedAt;
  private long topFence;
  private int calls;

  public KeyRangeManager(KeyRangeRuntime host, KeyRangeLeaseSettings terms) {
    this.host = host;
    this.terms = terms;
    this.balancer = new KeyRangeBalancer(host, this);
  }

  /**
   * This node leads now. The ranges are taken as written, as a successor does, whoever led before:
   * what this node itself was about to write when an epoch ended may be lost without a word. Only
   * the heat stays, if nobody led between.
   */
  public void began(List<WireRecord> written, boolean continued) {
    services.clear();
    if (!continued) {
      heat.clear();
    }
    seen.clear();
    long until = Math.max(host.now(), host.successorFrom()) + terms.longestOfAnother();
    for (WireRecord f : written) {
      KeyRangeLease l = new KeyRangeLease(KeyRange.of(f));
      l.heldUntil = until;
      // A call of this node's own time before may be open still.
      l.lostAt = host.now() + KeyRangeLeaseSettings.GRANT_CALL;
      // Spread, so that not all are renewed in one moment.
      l.renewAt = host.now() + host.random(4 * STEP);
      ranges(l.service).put(l.from, l);
      topFence = Math.max(topFence, l.fence);
    }
  }

  public void configured(Set<String> services) {
    partitioned = Set.copyOf(services);
  }

  private TreeMap<Integer, KeyRangeLease> ranges(String service) {
    return services.computeIfAbsent(service, s -> new TreeMap<>());
  }

  KeyLoad heat(String service) {
    return heat.computeIfAbsent(service, s -> new KeyLoad());
  }

  Map<Integer, KeyRangeLease> leases(String service) {
    return ranges(service);
  }

  int last(KeyRangeLease l) {
    Integer next = ranges(l.service).higherKey(l.from);
    return next == null ? KeyRange.LAST_KEY : next - 1;
  }

  /** A node's report: how often keys were asked for there, and how long the work of one takes. */
  public void reported(WireRecord report) {
    KeyLoad h = heat(report.text("service"));
    h.work(report.number("work") / 1e6);
    List<Object> keys = report.list("keys");
    for (int i = 0; i + 1 < keys.size(); i += 2) {
      h.add(((Number) keys.get(i)).intValue(), ((Number) keys.get(i + 1)).doubleValue());
    }
  }

  // ------------------------------------------------------------------ time

  public void tick() {
    long now = host.now();
    if (now - steppedAt < STEP || partitioned.isEmpty()) {
      return;
    }
    steppedAt = now;
    if (!host.authority()) {
      return;
    }
    calls = 0;
    for (String s : partitioned) {
      TreeMap<Integer, KeyRangeLease> all = ranges(s);
      if (all.isEmpty()) {
        found(s, now);
        continue;
      }
      heat(s).cool(now);
      for (KeyRangeLease l : new ArrayList<>(all.values())) {
        step(l, now);
      }
      if (mayMove(now)) {
        balancer.tick(s, now);
      }
    }
  }

  /**
   * Nothing that an earlier primary sent can arrive any more, so that what is taken from one stays
   * taken.
   */
  boolean mayMove(long now) {
    return now
        > host.successorFrom()
            + KeyRangeLeaseSettings.GRANT_CALL
            + KeyRangeLeaseSettings.ON_ITS_WAY;
  }

  /** The first grants: equal parts of the keys by slots, zones in turn. */
  private void found(String service, long now) {
    List<KeyRangeRuntime.Worker> workers =
        host.workers(service).stream().filter(KeyRangeRuntime.Worker::inService).toList();
    Set<String> names = new HashSet<>();
    workers.forEach(w -> names.add(w.instance()));
    if (workers.isEmpty() || !names.equals(seen.get(service))) {
      seen.put(service, names);
      seenAt.put(service, now);
      return;
    }
    if (now - seenAt.get(service) < SETTLED || !mayMove(now)) {
      return;
    }
    double slots = workers.stream().mapToInt(KeyRangeRuntime.Worker::slots).sum();
    double at = 0;
    int from = 0;
    for (KeyRangeRuntime.Worker w : workers) {
      at += w.slots();
      int next = (int) Math.round(at / slots * (KeyRange.LAST_KEY + 1));
      if (next <= from) {
        continue;
      }
      KeyRangeLease l =
          new KeyRangeLease(
              new KeyRange(
                  service, from, w.instance(), w.address(), ++topFence, KeyRangeState.GRANTING));
      ranges(service).put(from, l);
      write(l, () -> grant(l));
      from = next;
    }
    host.event("event=keys_divided service=" + service + " workers=" + workers.size());
  }

  private void step(KeyRangeLease l, long now) {
    if (l.writing) {
      return;
    }
    KeyRangeRuntime.Worker w = host.worker(l.owner);
    boolean alive = w != null && w.alive();
    if (!alive && l.state != KeyRangeState.EXPIRING) {
      if (l.calls == 0 && w != null && w.surelyOver()) {
        // Another life at its address: nobody holds these keys.
        l.heldUntil = 0;
      }
      to(l, KeyRangeState.EXPIRING, () -> {});
      return;
    }
    switch (l.state) {
      case GRANTING, HELD -> {
        if (!w.inService()) {
          if (l.quiet() && mayMove(now)) {
            release(l);
          }
        } else if (l.quiet() && now >= l.renewAt && calls < CALLS_A_STEP) {
          grant(l);
        }
      }
      case RELEASING -> {
        if (l.quiet()
            && now >= l.renewAt
            && now - l.lostAt > KeyRangeLeaseSettings.ON_ITS_WAY
            && mayMove(now)) {
          askBack(l);
        }
        if (l.calls == 0 && now > l.heldUntil) {
          pass(l, null);
        }
      }
      case EXPIRING -> {
        if (alive && w.inService()) {
          // It was only silent.
          to(l, KeyRangeState.GRANTING, () -> grant(l));
        } else if (w != null && w.surelyOver() && l.calls == 0
            || l.calls == 0 && now > l.heldUntil) {
          if (mayMove(now)) {
            pass(l, null);
          }
        }
      }
    }
  }

  /**
   * Whether it is of the table that this node keeps now; one of a time before must write nothing.
   */
  private boolean known(KeyRangeLease l) {
    return ranges(l.service).get(l.from) == l;
  }

  private void write(KeyRangeLease l, Runnable then) {
    l.writing = true;
    l.since = host.now();
    host.assign(
        l.range().toWireRecord("assign"),
        () -> {
          l.writing = false;
          if (known(l)) {
            then.run();
          }
        });
  }

  private void to(KeyRangeLease l, KeyRangeState s, Runnable then) {
    l.state = s;
    write(l, then);
  }

  // ----------------------------------------------------------------- calls

  private String body(KeyRangeLease l, boolean grant) {
    JsonObject o = new JsonObject();
    o.addProperty("source_revision", l.from);
    o.addProperty("target_revision", last(l));
    o.addProperty("fence", l.fence);
    if (grant) {
      o.addProperty("hold_timer_ms", terms.holdMicros() / 1000);
      if (l.token != null) {
        o.addProperty("lease_transfer", l.token);
      }
    }
    return o.toString();
  }

  /** Grants or renews: the same call. What is written is durable by now. */
  private void grant(KeyRangeLease l) {
    if (!host.authority()
        || l.writing
        || l.state != KeyRangeState.GRANTING && l.state != KeyRangeState.HELD) {
      return;
    }
    calls++;
    l.calls++;
    l.renewAt = Long.MAX_VALUE;
    host.call(
        l.address,
        l.owner,
        "/-/grant",
        body(l, true),
        KeyRangeLeaseSettings.GRANT_CALL,
        a -> {
          long now = host.now();
          l.calls--;
          if (!known(l)) {
            return;
          }
          if (a.status() == 200) {
            l.heldUntil = Math.max(l.heldUntil, now + terms.longest());
            // A little sooner or later each time, so that renewals spread.
            l.renewAt = now + terms.renewal() * 85 / 100 + host.random(terms.renewal() * 3 / 10);
            if (l.state == KeyRangeState.GRANTING && !l.writing) {
              l.token = null;
              to(l, KeyRangeState.HELD, () -> {});
            }
            return;
          }
          if (a.mayHaveArrived() && a.status() != 409) {
            l.heldUntil = Math.max(l.heldUntil, now + terms.longestUnanswered());
            l.lostAt = now;
          }
          l.renewAt = now + GRANT_AGAIN;
          if (a.status() == 409 && !l.writing) {
            host.event(
                "event=grant_outfenced service="
                    + l.service
                    + " from="
                    + l.from
                    + " fence="
                    + l.fence);
            l.fence = Math.max(topFence, l.fence) + 1;
            topFence = l.fence;
            to(l, KeyRangeState.GRANTING, () -> grant(l));
          }
        });
  }

  /** Takes a range from its owner: word goes to the nodes first, then the owner is asked. */
  void release(KeyRangeLease l) {
    l.renewAt = host.now() + WORD_FIRST;
    to(
        l,
        KeyRangeState.RELEASING,
        () -> {
          l.renewAt = host.now() + WORD_FIRST;
          host.after(
              WORD_FIRST,
              () -> {
                if (known(l)
                    && l.state == KeyRangeState.RELEASING
                    && l.quiet()
                    && host.now() - l.lostAt > KeyRangeLeaseSettings.ON_ITS_WAY) {
                  askBack(l);
                }
              });
        });
  }

  private void askBack(KeyRangeLease l) {
    if (!host.authority()) {
      return;
    }
    l.calls++;
    l.renewAt = Long.MAX_VALUE;
    host.call(
        l.address,
        l.owner,
        "/-/release",
        body(l, false),
        RELEASE_CALL,
        a -> {
          l.calls--;
          if (!known(l)) {
            return;
          }
          l.renewAt = host.now() + RELEASE_AGAIN;
          if (a.status() == 200 && l.state == KeyRangeState.RELEASING && !l.writing) {
            pass(l, a.token());
          }
        });
  }

  /** Nobody holds the range: it goes to the worker with the most room. */
  private void pass(KeyRangeLease l, String token) {
    KeyRangeRuntime.Worker w = balancer.receiver(l);
    if (w == null || !host.authority()) {
      return;
    }
    l.owner = w.instance();
    l.address = w.address();
    l.fence = ++topFence;
    l.token = token;
    l.heldUntil = 0;
    l.lostAt = Long.MIN_VALUE / 2;
    l.movedAt = host.now();
    to(l, KeyRangeState.GRANTING, () -> grant(l));
  }

  // ------------------------------------------------------------- dividing

  /**
   * Cuts a piece out of a held range, so that it can go elsewhere: what stays keeps its owner and
   * fence. Each step that is written leaves a whole table, whichever of them is the last to last.
   */
  KeyRangeLease cut(KeyRangeLease l, int from, int to) {
    if (l.state != KeyRangeState.HELD || !l.quiet() || from < l.from || to > last(l)) {
      return null;
    }
    if (to < last(l)) {
      KeyRangeLease rest = l.from(to + 1);
      ranges(l.service).put(rest.from, rest);
      write(rest, () -> {});
    }
    if (from == l.from) {
      return l;
    }
    KeyRangeLease piece = l.from(from);
    ranges(l.service).put(piece.from, piece);
    return piece;
  }

  /** Joins a held range with the one after it, if one worker holds both. */
  boolean join(KeyRangeLease l) {
    Map.Entry<Integer, KeyRangeLease> e = ranges(l.service).higherEntry(l.from);
    if (e == null) {
      return false;
    }
    KeyRangeLease r = e.getValue();
    if (!l.owner.equals(r.owner)
        || l.state != KeyRangeState.HELD
        || r.state != KeyRangeState.HELD
        || !l.quiet()
        || !r.quiet()) {
      return false;
    }
    l.heldUntil = Math.max(l.heldUntil, r.heldUntil);
    l.lostAt = Math.max(l.lostAt, r.lostAt);
    l.renewAt = Math.min(l.renewAt, r.renewAt);
    long fence = Math.max(l.fence, r.fence);
    l.writing = true;
    r.writing = true;
    Runnable drop =
        () -> {
          ranges(l.service).remove(r.from);
          host.assign(
              new WireRecord("assign")
                  .with("key", KeyRange.key(r.service, r.from))
                  .with("service", r.service)
                  .with("from", r.from)
                  .with("gone", true),
              () -> l.writing = false);
        };
    if (fence == l.fence) {
      drop.run();
    } else {
      l.fence = fence;
      host.assign(l.range().toWireRecord("assign"), drop);
    }
    return true;
  }

  /** For the operators: each service's ranges and states. */
  public List<WireRecord> status() {
    List<WireRecord> out = new ArrayList<>();
    services.forEach(
        (s, all) -> {
          Map<KeyRangeState, Integer> n = new HashMap<>();
          Set<String> owners = new HashSet<>();
          all.values()
              .forEach(
                  l -> {
                    n.merge(l.state, 1, Integer::sum);
                    owners.add(l.owner);
                  });
          out.add(
              new WireRecord("keys")
                  .with("service", s)
                  .with("ranges", all.size())
                  .with("owners", owners.size())
                  .with("held", n.getOrDefault(KeyRangeState.HELD, 0))
                  .with("granting", n.getOrDefault(KeyRangeState.GRANTING, 0))
                  .with("releasing", n.getOrDefault(KeyRangeState.RELEASING, 0))
                  .with("expiring", n.getOrDefault(KeyRangeState.EXPIRING, 0))
                  .with("fence", topFence));
        });
    return out;
  }
}
