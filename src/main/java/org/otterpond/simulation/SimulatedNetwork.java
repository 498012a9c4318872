package org.otterpond.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * The network between the nodes: latency, bandwidth, message loss, partitions, and links that
 * buffer what is sent. Each direction between two nodes is one connection, which keeps the order of
 * its messages.
 */
final class SimulatedNetwork {
  private static final long MIN_LATENCY_MICROS = 200;
  private static final int LATENCY_SPREAD_MICROS = 800;
  private static final long OTHER_ZONE_LATENCY_MICROS = 500;
  private static final long OTHER_REGION_LATENCY_MICROS = 20_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** One direction between two nodes. */
  record Route(String from, String to) {}

  /** How many messages and encoded bytes a node has sent and received. */
  record Traffic(long messages, long bytes) {
    private Traffic plus(int messageBytes) {
      return new Traffic(messages + 1, bytes + messageBytes);
    }
  }

  private final EventScheduler scheduler;
  private final Random random;
  private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
  private final Set<Route> partitioned = new HashSet<>();
  private final Map<Route, SimulatedLink<byte[]>> links = new HashMap<>();
  private final Map<String, Long> bytesPerSecond = new HashMap<>();

  /** Until when the links of machines with limited bandwidth are busy, in microseconds. */
  private final Map<String, Long> busyUntilMicros = new HashMap<>();

  /** The traffic of each address since the start, or since a test cleared it. */
  final Map<String, Traffic> traffic = new HashMap<>();

  /** The probability, from 0 to 1, that a message is lost. */
  double lossProbability;

  SimulatedNetwork(EventScheduler scheduler, Random random) {
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Connects a node under its address. */
  void attach(SimulatedNode node) {
    nodes.put(node.address, node);
  }

  /** Removes a node; messages to it are dropped from now on. */
  void detach(String address) {
    nodes.remove(address);
  }

  /** The node of an address, or null. */
  SimulatedNode node(String address) {
    return nodes.get(address);
  }

  /** Drops all messages between two nodes, in both directions. */
  void partition(String first, String second) {
    partitionOneWay(first, second);
    partitionOneWay(second, first);
  }

  /** Drops all messages in one direction. */
  void partitionOneWay(String from, String to) {
    partitioned.add(new Route(from, to));
  }

  /** Partitions a node from every other. */
  void isolate(String address) {
    nodes.keySet().stream()
        .filter(other -> !other.equals(address))
        .forEach(other -> partition(address, other));
  }

  boolean isPartitioned(String from, String to) {
    return partitioned.contains(new Route(from, to));
  }

  /** Ends all partitions. */
  void heal() {
    partitioned.clear();
  }

  /** Ends the partition of one direction. */
  void healOneWay(String from, String to) {
    partitioned.remove(new Route(from, to));
  }

  /** Keeps back what is sent in that direction, as TCP keeps bytes that are not acknowledged. */
  void startBuffering(String from, String to) {
    link(from, to).startBuffering(scheduler.now());
  }

  /**
   * Ends the buffering of a direction: some of the buffered messages arrive late, or the connection
   * turns out to be reset.
   *
   * @param choices the source of the random choices of this call
   */
  void stopBuffering(String from, String to, Random choices) {
    SimulatedLink<byte[]> link = link(from, to);
    for (SimulatedLink.DelayedMessage<byte[]> delayed :
        link.stopBuffering(scheduler.now(), choices)) {
      long sequence = link.nextSequence();
      scheduler.schedule(
          delayed.delayMicros(), () -> arrive(from, to, link, sequence, delayed.message()));
    }
    if (link.wasReset()) {
      notifyConnectionClosed(from, to);
      notifyConnectionClosed(to, from);
    }
  }

  /** Limits what a machine sends and receives together; 0, the default, sets no limit. */
  void limitBandwidth(String address, long limitBytesPerSecond) {
    bytesPerSecond.put(address, limitBytesPerSecond);
  }

  /**
   * Closes the connections of a process that has ended while its machine runs: every node that has
   * exchanged messages with it is notified.
   */
  void closeConnections(String address) {
    for (String other : nodes.keySet()) {
      boolean connected =
          links.containsKey(new Route(other, address))
              || links.containsKey(new Route(address, other));
      if (!other.equals(address) && connected) {
        notifyConnectionClosed(address, other);
      }
    }
  }

  private void notifyConnectionClosed(String from, String to) {
    scheduler.schedule(
        randomLatencyMicros(),
        () -> {
          SimulatedNode node = nodes.get(to);
          if (node != null && !isPartitioned(from, to) && !link(from, to).isBuffering()) {
            node.peerLost(from, false);
          }
        });
  }

  /** Encodes a message and delivers it after its latency, unless it is lost. */
  void send(String from, String to, WireRecord message) {
    byte[] bytes = WireRecordCodec.encode(message);
    countTraffic(from, bytes.length);
    countTraffic(to, bytes.length);
    long latencyMicros = randomLatencyMicros() + distanceMicros(from, to);
    SimulatedLink<byte[]> link = link(from, to);
    long sentMicros = transmit(from, bytes.length, scheduler.now());
    long receivedMicros = transmit(to, bytes.length, sentMicros);
    long arrivalMicros = link.arrivalMicros(receivedMicros, latencyMicros);
    if (isPartitioned(from, to) || random.nextDouble() < lossProbability) {
      return;
    }
    long sequence = link.nextSequence();
    if (link.isBuffering()) {
      link.buffer(sequence, bytes, scheduler.now());
    } else {
      scheduler.schedule(
          arrivalMicros - scheduler.now(), () -> arrive(from, to, link, sequence, bytes));
    }
  }

  private void arrive(
      String from, String to, SimulatedLink<byte[]> link, long sequence, byte[] bytes) {
    SimulatedNode node = nodes.get(to);
    if (node == null || isPartitioned(from, to)) {
      return;
    }
    if (link.isBuffering()) {
      link.buffer(sequence, bytes, scheduler.now());
    } else if (node.refusesConnections()) {
      nodes.get(from).peerLost(to);
    } else {
      node.deliver(from, EncodedRecords.decode(bytes));
    }
  }

  private long randomLatencyMicros() {
    return MIN_LATENCY_MICROS + random.nextInt(LATENCY_SPREAD_MICROS);
  }

  private SimulatedLink<byte[]> link(String from, String to) {
    return links.computeIfAbsent(new Route(from, to), route -> new SimulatedLink<>());
  }

  /**
   * When so many bytes have passed the link of a machine, behind everything that is queued on it.
   */
  private long transmit(String address, int bytes, long readyMicros) {
    long limit = bytesPerSecond.getOrDefault(address, 0L);
    if (limit == 0) {
      return readyMicros;
    }
    long startMicros = Math.max(readyMicros, busyUntilMicros.getOrDefault(address, 0L));
    long endMicros = startMicros + bytes * MICROS_PER_SECOND / limit;
    busyUntilMicros.put(address, endMicros);
    return endMicros;
  }

  private long distanceMicros(String from, String to) {
    SimulatedNode sender = nodes.get(from);
    SimulatedNode receiver = nodes.get(to);
    if (sender == null || receiver == null) {
      return 0;
    }
    if (!sender.region.equals(receiver.region)) {
      return OTHER_REGION_LATENCY_MICROS;
    }
    return sender.zone.equals(receiver.zone) ? 0 : OTHER_ZONE_LATENCY_MICROS;
  }

  private void countTraffic(String address, int bytes) {
    traffic.put(address, traffic.getOrDefault(address, new Traffic(0, 0)).plus(bytes));
  }
}
