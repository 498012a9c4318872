package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * One way between two machines: the order of what it carries, and what it keeps back while it
 * holds. A sender gives a silent connection up after a while and dials anew; what it wrote before
 * lies in the kernel, which goes on sending it: after the cut it arrives late, in its own order,
 * beside what newer connections bring.
 */
final class SimulatedLink {
  /** So long a sender waits for a sign of life before it dials anew. */
  private static final long GIVEN_UP = 1_200_000;

  private record Held(long number, byte[] bytes, int connection) {}

  /** A message and how long after the release it arrives. */
  record Late(byte[] bytes, long delay) {}

  private long lastDelivery;
  private long numbers;
  private boolean holding;
  private long since;
  private int connection;
  private final List<Held> held = new ArrayList<>();

  /** Whether the last release found the connection given up and reset. */
  private boolean reset;

  /** When a message that leaves at that moment is there: behind all that was sent before it. */
  long arrival(long leaves, long latency) {
    lastDelivery = Math.max(leaves + latency, lastDelivery + 1);
    return lastDelivery;
  }

  long nextNumber() {
    return ++numbers;
  }

  boolean holding() {
    return holding;
  }

  void hold(long now) {
    if (!holding) {
      holding = true;
      since = now;
      connection = 0;
    }
  }

  void keep(long number, byte[] bytes, long now) {
    if (now - since > GIVEN_UP) {
      connection++;
      since = now;
    }
    held.add(new Held(number, bytes, connection));
  }

  /** Ends the holding; what still arrives of what was kept, and when. */
  List<Late> release(long now, Random random) {
    holding = false;
    reset = false;
    held.sort(Comparator.comparingLong(Held::number));
    List<Held> first = held.stream().filter(h -> h.connection() == 0).toList();
    List<Held> last = held.stream().filter(h -> h.connection() == connection).toList();
    boolean young = now - since <= GIVEN_UP;
    held.clear();
    List<Late> out = new ArrayList<>();
    if (connection == 0 && young) {
      // Nobody has given it up: everything arrives, and before all that is sent from now on.
      long delay = random.nextInt(200_000);
      for (Held h : first) {
        out.add(new Late(h.bytes(), delay++));
      }
      lastDelivery = Math.max(lastDelivery, now + delay);
      return out;
    }
    int how = random.nextInt(4);
    reset = how == 0;
    int whole = how == 0 ? 0 : how == 1 ? first.size() : random.nextInt(first.size() + 1);
    late(first.subList(0, whole), random.nextInt(2_000_000), out);
    if (connection > 0 && young && random.nextBoolean()) {
      late(last, random.nextInt(1_000_000), out);
    }
    return out;
  }

  private static void late(List<Held> some, long delay, List<Late> out) {
    for (int i = 0; i < some.size(); i++) {
      out.add(new Late(some.get(i).bytes(), delay + i));
    }
  }

  boolean wasReset() {
    return reset;
  }
}
