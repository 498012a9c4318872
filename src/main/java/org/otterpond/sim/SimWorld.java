package org.otterpond.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.otterpond.signal.Flag;
import org.otterpond.signal.FlagCodec;
import org.otterpond.signal.SignalException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Simulated time and network. Everything that happens is an event in one queue; one seed decides it all. */
final class SimWorld {
    private static final Logger LOG = LoggerFactory.getLogger(SimWorld.class);

    private record Event(long at, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int c = Long.compare(at, o.at);
            return c != 0 ? c : Long.compare(number, o.number);
        }
    }

    final Random random;
    final Map<String, SimNode> nodes = new LinkedHashMap<>();
    final List<String> log = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Long> lastDelivery = new HashMap<>();
    private long now = 1_000_000;
    private long number;
    double loss;
    /** Bytes and messages that each node has sent and been sent. */
    final Map<String, long[]> traffic = new HashMap<>();

    SimWorld(long seed) {
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

    void send(String from, String to, Flag f) {
        byte[] bytes = FlagCodec.encode(f);
        count(from, bytes.length);
        count(to, bytes.length);
        long at = now + 200 + random.nextInt(800);
        String way = from + ">" + to;
        // One connection: messages keep their order.
        at = Math.max(at, lastDelivery.getOrDefault(way, 0L) + 1);
        lastDelivery.put(way, at);
        if (cuts.contains(way) || random.nextDouble() < loss) {
            return;
        }
        at(at - now, () -> {
            SimNode n = nodes.get(to);
            if (n != null && !cuts.contains(way) && n.refuses()) {
                nodes.get(from).peerLost(to);
            } else if (n != null && !cuts.contains(way)) {
                try {
                    n.deliver(from, FlagCodec.decode(bytes, 0, bytes.length));
                } catch (SignalException e) {
                    throw new IllegalStateException(e);
                }
            }
        });
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
