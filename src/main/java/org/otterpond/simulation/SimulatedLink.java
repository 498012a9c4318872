package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * One direction of the network between two nodes: keeps the order of its messages and, while it
 * buffers, keeps them back.
 *
 * <p>A sender without a sign of life abandons its connection after a while and opens another one.
 * What it had written to the old connection is still in the kernel's buffer: once the link is back
 * it may arrive late, in its own order, beside the messages of newer connections.
 *
 * @param <M> what is sent
 */
final class SimulatedLink<M> {
  /** After this time without a sign of life a sender abandons its connection. */
  private static final long CONNECTION_TIMEOUT_MICROS = 1_200_000;

  private static final int OPEN_CONNECTION_DELAY_MICROS = 200_000;
  private static final int ABANDONED_CONNECTION_DELAY_MICROS = 2_000_000;
  private static final int NEW_CONNECTION_DELAY_MICROS = 1_000_000;

  private record BufferedMessage<M>(long sequence, M message, int connection) {}

  /** A message that was buffered, and how long after the end of the buffering it arrives. */
  record DelayedMessage<M>(M message, long delayMicros) {}

  private long lastArrivalMicros;
  private long lastSequence;
  private boolean buffering;

  /** When the current connection was opened, or the buffering began. */
  private long connectedMicros;

  /** The connection in use, counted from 0 at the beginning of the buffering. */
  private int connection;

  private final List<BufferedMessage<M>> buffered = new ArrayList<>();
  private boolean reset;

  /** When a message arrives that is sent at that time: never before one that was sent earlier. */
  long arrivalMicros(long sentMicros, long latencyMicros) {
    lastArrivalMicros = Math.max(sentMicros + latencyMicros, lastArrivalMicros + 1);
    return lastArrivalMicros;
  }

  /** The number of the next message, by which buffered messages are put in order. */
  long nextSequence() {
    return ++lastSequence;
  }

  boolean isBuffering() {
    return buffering;
  }

  void startBuffering(long nowMicros) {
    if (!buffering) {
      buffering = true;
      connectedMicros = nowMicros;
      connection = 0;
    }
  }

  /** Keeps a message back, on a new connection if the last one has timed out. */
  void buffer(long sequence, M message, long nowMicros) {
    if (hasTimedOut(nowMicros)) {
      connection++;
      connectedMicros = nowMicros;
    }
    buffered.add(new BufferedMessage<>(sequence, message, connection));
  }

  private boolean hasTimedOut(long nowMicros) {
    return nowMicros - connectedMicros > CONNECTION_TIMEOUT_MICROS;
  }

  /** Ends the buffering and returns the messages that still arrive. */
  List<DelayedMessage<M>> stopBuffering(long nowMicros, Random random) {
    buffering = false;
    reset = false;
    buffered.sort(Comparator.comparingLong(BufferedMessage<M>::sequence));
    List<BufferedMessage<M>> onFirst = onConnection(0);
    List<BufferedMessage<M>> onLast = onConnection(connection);
    buffered.clear();
    boolean timedOut = hasTimedOut(nowMicros);
    return connection == 0 && !timedOut
        ? deliverAll(onFirst, nowMicros, random)
        : deliverSome(onFirst, onLast, timedOut, random);
  }

  private List<BufferedMessage<M>> onConnection(int wanted) {
    return buffered.stream().filter(buffer -> buffer.connection() == wanted).toList();
  }

  /** No connection was abandoned: everything arrives, before all that is sent from now on. */
  private List<DelayedMessage<M>> deliverAll(
      List<BufferedMessage<M>> messages, long nowMicros, Random random) {
    long delayMicros = random.nextInt(OPEN_CONNECTION_DELAY_MICROS);
    List<DelayedMessage<M>> delayed = delay(messages, delayMicros);
    lastArrivalMicros = Math.max(lastArrivalMicros, nowMicros + delayMicros + messages.size());
    return delayed;
  }

  /** Of the abandoned connection nothing, all or a prefix arrives; of the newest all or nothing. */
  private List<DelayedMessage<M>> deliverSome(
      List<BufferedMessage<M>> onFirst,
      List<BufferedMessage<M>> onLast,
      boolean timedOut,
      Random random) {
    int outcome = random.nextInt(4);
    reset = outcome == 0;
    int arriving =
        switch (outcome) {
          case 0 -> 0;
          case 1 -> onFirst.size();
          default -> random.nextInt(onFirst.size() + 1);
        };
    List<DelayedMessage<M>> delayed =
        delay(onFirst.subList(0, arriving), random.nextInt(ABANDONED_CONNECTION_DELAY_MICROS));
    if (connection > 0 && !timedOut && random.nextBoolean()) {
      delayed.addAll(delay(onLast, random.nextInt(NEW_CONNECTION_DELAY_MICROS)));
    }
    return delayed;
  }

  private static <M> List<DelayedMessage<M>> delay(
      List<BufferedMessage<M>> messages, long firstMicros) {
    List<DelayedMessage<M>> delayed = new ArrayList<>();
    for (BufferedMessage<M> message : messages) {
      delayed.add(new DelayedMessage<>(message.message(), firstMicros + delayed.size()));
    }
    return delayed;
  }

  /** Whether the last end of a buffering found that the connection had been reset. */
  boolean wasReset() {
    return reset;
  }
}
