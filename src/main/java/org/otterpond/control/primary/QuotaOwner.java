package org.otterpond.control.primary;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Service;
import org.otterpond.config.Tenant;
import org.otterpond.protocol.WireRecord;

/**
 * The one owner of all quotas: a token bucket a tenant, out of which it lends tokens to the nodes.
 *
 * <p>A lent token is out until its node reports it used or given back, or until it has provably
 * expired: a node uses none later than the lending time counted from when it asked, here it is
 * counted from when it was lent. Reports are running totals, so a lost or repeated one does no
 * harm, and a grant whose answer was lost only counts for too long.
 */
public final class QuotaOwner {
  private static final long LEDGER_IDLE = 600_000_000;
  private static final double NEVER = 3600;

  private final QuotaSettings terms;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Tokens lent at once, those numbered from end - left to end being still out. */
  private static final class Loan {
    final long end;
    final long expires;
    long left;

    Loan(long end, long count, long expires) {
      this.end = end;
      this.left = count;
      this.expires = expires;
    }
  }

  /** What one life of one node has had of a tenant's tokens. */
  private static final class Ledger {
    long granted;
    long used;
    long returned;
    long at;
    final ArrayDeque<Loan> loans = new ArrayDeque<>();
  }

  private static final class Bucket {
    double rate;
    double burst;
    boolean configured;
    boolean ceiling;
    double tokens;
    long at;
    long out;
    long granted;
    long denied;
    final ArrayDeque<Loan> loans = new ArrayDeque<>();
    final Map<Long, Ledger> ledgers = new HashMap<>();
  }

  /** The answer to one ask. */
  record Lent(int count, boolean over, long againMicros) {}

  QuotaOwner(QuotaSettings terms) {
    this.terms = terms;
  }

  /** A new owner: every bucket begins empty. */
  void reset() {
    buckets.clear();
  }

  /**
   * Takes the limits in force. A tenant that is new, or comes again, begins with an empty bucket.
   */
  void configured(GatewayConfiguration c, long now) {
    buckets.values().forEach(b -> b.configured = false);
    for (Service s : c.services().values()) {
      if (s.ratePerSecond() > 0) {
        Bucket b = bucket(ceilingOf(s.name()), now);
        refill(b, now);
        b.ceiling = true;
        b.rate = s.ratePerSecond();
        b.burst = terms.ceilingPart(b.rate);
        b.tokens = Math.min(b.tokens, b.burst);
        b.configured = true;
      }
    }
    for (Tenant s : c.tenants()) {
      if (!s.limited()) {
        continue;
      }
      Bucket b = bucket(s.name(), now);
      refill(b, now);
      b.rate = s.ratePerSecond();
      b.burst = s.burst();
      b.tokens = Math.min(b.tokens, b.burst);
      b.configured = true;
    }
    buckets
        .values()
        .forEach(
            b -> {
              if (!b.configured) {
                b.rate = 0;
                b.burst = 0;
                b.tokens = 0;
              }
            });
  }

  private Bucket bucket(String name, long now) {
    return buckets.computeIfAbsent(
        name,
        n -> {
          Bucket fresh = new Bucket();
          fresh.at = now;
          return fresh;
        });
  }

  /** The name under which tokens of a service's ceiling are lent; no tenant can have it. */
  public static String ceilingOf(String service) {
    return "ceiling " + service;
  }

  private double mostOut(Bucket b) {
    return b.ceiling ? terms.ceilingPart(b.rate) : terms.mostOut(b.rate, b.burst);
  }

  private static void refill(Bucket b, long now) {
    // A limit below one token would never let any through: the bucket holds one at least.
    b.tokens = Math.min(Math.max(1, b.burst), b.tokens + b.rate * (now - b.at) / 1e6);
    b.at = now;
  }

  /**
   * Settles what the node reports and lends it what it needs, and up to {@code spare} more while
   * little is out.
   *
   * @param used running total of the tokens that the node has used, given back or let expire
   * @param returned running total of those given back unused
   */
  Lent lend(String tenant, long life, long used, long returned, int need, int spare, long now) {
    Bucket b = buckets.get(tenant);
    if (b == null) {
      return new Lent(0, false, 100_000);
    }
    refill(b, now);
    expire(b, now);
    Ledger l =
        b.ledgers.computeIfAbsent(
            life,
            n -> {
              Ledger fresh = new Ledger();
              fresh.granted = used;
              fresh.used = used;
              fresh.returned = returned;
              return fresh;
            });
    l.at = now;
    settle(b, l, used, returned);
    int room = (int) Math.max(0, mostOut(b) - b.out);
    int count = (int) Math.min(need, Math.min(b.tokens, room));
    if (count == need && spare > 0) {
      int half = room - (int) mostOut(b) / 2;
      count += (int) Math.max(0, Math.min(spare, Math.min(b.tokens / 2, half) - count));
    }
    if (count > 0) {
      b.tokens -= count;
      b.out += count;
      b.granted += count;
      l.granted += count;
      Loan loan = new Loan(l.granted, count, now + terms.lentMicros());
      l.loans.addLast(loan);
      b.loans.addLast(loan);
    }
    if (count >= need) {
      return new Lent(count, false, 0);
    }
    boolean over = b.tokens < 1;
    b.denied += over ? need - count : 0;
    double wait = b.rate <= 0 ? NEVER : (need - count) / b.rate;
    return new Lent(count, over, (long) (1e6 * wait));
  }

  private static void expire(Bucket b, long now) {
    while (!b.loans.isEmpty()
        && (b.loans.peekFirst().left == 0 || b.loans.peekFirst().expires <= now)) {
      Loan gone = b.loans.pollFirst();
      b.out -= gone.left;
      gone.left = 0;
    }
  }

  /** Used tokens are taken off the oldest loans, as the nodes use the oldest first. */
  private static void settle(Bucket b, Ledger l, long used, long returned) {
    if (used <= l.used || used > l.granted) {
      return;
    }
    long off = 0;
    while (!l.loans.isEmpty()) {
      Loan o = l.loans.peekFirst();
      long stays = Math.min(o.left, Math.max(0, o.end - used));
      off += o.left - stays;
      o.left = stays;
      if (stays > 0) {
        break;
      }
      l.loans.pollFirst();
    }
    b.out -= off;
    long back = Math.max(0, Math.min(returned - l.returned, off));
    b.tokens = Math.min(Math.max(1, b.burst), b.tokens + back);
    l.used = used;
    l.returned = Math.max(l.returned, returned);
  }

  /** Lets go of what no token is out of any more. */
  void tick(long now) {
    Iterator<Bucket> it = buckets.values().iterator();
    while (it.hasNext()) {
      Bucket b = it.next();
      expire(b, now);
      b.ledgers.values().removeIf(l -> now - l.at > LEDGER_IDLE);
      if (!b.configured && b.out == 0) {
        it.remove();
      }
    }
  }

  /** For the operators: what each tenant may have, has had and is refused. */
  List<WireRecord> status(long now) {
    List<WireRecord> out = new ArrayList<>();
    buckets.forEach(
        (name, b) -> {
          refill(b, now);
          expire(b, now);
          out.add(
              new WireRecord("quota")
                  .with("name", name)
                  .with("rate", b.rate)
                  .with("burst", b.burst)
                  .with("tokens", (long) b.tokens)
                  .with("out", b.out)
                  .with("granted", b.granted)
                  .with("denied", b.denied));
        });
    return out;
  }
}
