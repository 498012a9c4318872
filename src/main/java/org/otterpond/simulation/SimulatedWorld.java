package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulated time and network. Everything that happens is an event in one queue; one seed decides it
 * all.
 */
final class SimulatedWorld {
  private static final Logger LOG = LoggerFactory.getLogger(SimulatedWorld.class);

  private static final long OTHER_ZONE = 500;
  private static final long OTHER_REGION = 20_000;

  private record Event(long at, long number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      int c = Long.compare(at, o.at);
      return c != 0 ? c : Long.compare(number, o.number);
    }
  }

  final Random random;
  final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
  final List<String> log = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Set<String> cuts = new HashSet<>();
  private final Map<String, SimulatedLink> links = new HashMap<>();
  private final Map<String, Long> widths = new HashMap<>();

  /** Until when the links of machines of stated width have something to carry. */
  private final Map<String, Long> busyUntil = new HashMap<>();

  private long now = 1_000_000;
  private long number;
  double loss;

  /** Bytes and messages that each node has sent and been sent. */
  final Map<String, long[]> traffic = new HashMap<>();

  SimulatedWorld(long seed) {
    random = new Random(seed);
    LOG.info("event=simulation_began seed={}", seed);
  }

  long now() {
    return now;
  }

  void at(long delay, Runnable task) {
    events.add(new Event(now + Math.max(0, delay), ++number, task));
  }

  void run(long micros) {
    long until = now + micros;
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event e = events.poll();
      now = e.at();
      e.task().run();
    }
    now = until;
  }

  void cut(String a, String b) {
    cuts.add(a + ">" + b);
    cuts.add(b + ">" + a);
  }

  boolean isCut(String a, String b) {
    return cuts.contains(a + ">" + b);
  }

  /** Cuts the node off from every other. */
  void cutOff(String a) {
    nodes.keySet().stream().filter(b -> !b.equals(a)).forEach(b -> cut(a, b));
  }

  void heal() {
    cuts.clear();
  }

  void cutOneWay(String from, String to) {
    cuts.add(from + ">" + to);
  }

  void healOneWay(String from, String to) {
    cuts.remove(from + ">" + to);
  }

  /** From now on what goes that way is kept, as TCP keeps what is not acknowledged. */
  void hold(String from, String to) {
    link(from, to).hold(now);
  }

  /**
   * Ends the holding: of what was kept a part arrives late, or the connection turns out to be
   * reset.
   */
  void release(String from, String to, Random chance) {
    SimulatedLink link = link(from, to);
    for (SimulatedLink.Late l : link.release(now, chance)) {
      long n = link.nextNumber();
      at(l.delay(), () -> arrive(from, to, link, n, l.bytes()));
    }
    if (link.wasReset()) {
      closed(from, to);
      closed(to, from);
    }
  }

  /**
   * How many bytes a second the machine's link carries, both ways together; 0, as from the start,
   * has no bound.
   */
  void width(String address, long bytesPerSecond) {
    widths.put(address, bytesPerSecond);
  }

  /**
   * The process has ended while its machine runs: those who talked to it find their connections
   * closed.
   */
  void processEnded(String address) {
    for (String other : nodes.keySet()) {
      if (!other.equals(address)
          && (links.containsKey(other + ">" + address)
              || links.containsKey(address + ">" + other))) {
        closed(address, other);
      }
    }
  }

  private void closed(String from, String to) {
    at(
        200 + random.nextInt(800),
        () -> {
          SimulatedNode n = nodes.get(to);
          if (n != null && !cuts.contains(from + ">" + to) && !link(from, to).holding()) {
            n.peerLost(from, false);
          }
        });
  }

  private SimulatedLink link(String from, String to) {
    return links.computeIfAbsent(from + ">" + to, w -> new SimulatedLink());
  }

  /** When so many bytes have passed the machine's link, behind all that goes or comes there. */
  private long passed(String machine, int bytes, long from) {
    Long width = widths.get(machine);
    if (width == null || width == 0) {
      return from;
    }
    long at = Math.max(from, busyUntil.getOrDefault(machine, 0L)) + bytes * 1_000_000L / width;
    busyUntil.put(machine, at);
    return at;
  }

  private long distance(String from, String to) {
    SimulatedNode a = nodes.get(from);
    SimulatedNode b = nodes.get(to);
    if (a == null || b == null || a.region.equals(b.region) && a.zone.equals(b.zone)) {
      return 0;
    }
    return a.region.equals(b.region) ? OTHER_ZONE : OTHER_REGION;
  }

  void send(String from, String to, WireRecord f) {
    byte[] bytes = WireRecordCodec.encode(f);
    count(from, bytes.length);
    count(to, bytes.length);
    long latency = 200 + random.nextInt(800) + distance(from, to);
    String way = from + ">" + to;
    SimulatedLink link = link(from, to);
    // One connection: messages keep their order.
    long at = link.arrival(passed(to, bytes.length, passed(from, bytes.length, now)), latency);
    if (cuts.contains(way) || random.nextDouble() < loss) {
      return;
    }
    long n = link.nextNumber();
    if (link.holding()) {
      link.keep(n, bytes, now);
    } else {
      at(at - now, () -> arrive(from, to, link, n, bytes));
    }
  }

  private void arrive(String from, String to, SimulatedLink link, long n, byte[] bytes) {
    SimulatedNode node = nodes.get(to);
    if (node == null || cuts.contains(from + ">" + to)) {
      return;
    }
    if (link.holding()) {
      link.keep(n, bytes, now);
    } else if (node.refuses()) {
      nodes.get(from).peerLost(to);
    } else {
      try {
        node.deliver(from, WireRecordCodec.decode(bytes, 0, bytes.length));
      } catch (ProtocolException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void count(String node, int bytes) {
    long[] t = traffic.computeIfAbsent(node, n -> new long[2]);
    t[0]++;
    t[1] += bytes;
  }

  void event(String node, String line) {
    log.add(now / 1000 + " " + node + " " + line);
  }
}
