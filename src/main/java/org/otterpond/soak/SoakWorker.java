package org.otterpond.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A worker that works on each request for the time that its path names, listens meanwhile whether
 * the node breaks it off, and records both. After a restart it has another identity and is in slow
 * start. A thread a connection.
 */
final class SoakWorker implements AutoCloseable {
  /** More requests than this at once are rejected as not executed. */
  static final int SLOTS = 8;

  /** How long a worker is in slow start after it was restarted. */
  private static final int SLOW_START_MILLIS = 3_000;

  private static final int BACKLOG = 500;
  private static final int SLOW_FACTOR = 10;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int LISTEN_MILLIS = 20;

  private final int number;
  private final InetAddress address;
  private final SoakRecords records;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger inProgress = new AtomicInteger();
  private final Relay relay;
  private final Consumer<SoakWorker> announcer;
  private ServerSocket server;
  private final AtomicInteger restarts = new AtomicInteger();
  private volatile long slowStartEndNanos = System.nanoTime();
  private volatile boolean slow;
  private volatile boolean crashed;

  /**
   * Starts a worker behind a relay.
   *
   * @param announcer sends a heartbeat of the worker at once
   */
  SoakWorker(int number, InetAddress address, SoakRecords records, Consumer<SoakWorker> announcer)
      throws IOException {
    this.number = number;
    this.address = address;
    this.records = records;
    this.announcer = announcer;
    listen(0);
    this.relay = new Relay(address, new InetSocketAddress(address, server.getLocalPort()));
  }

  private void listen(int port) throws IOException {
    ServerSocket listening = new ServerSocket();
    listening.setReuseAddress(true);
    listening.bind(new InetSocketAddress(address, port), BACKLOG);
    server = listening;
    SoakThreads.start("worker", () -> accept(listening));
  }

  /** The address that nodes are told. */
  String advertisedAddress() {
    return address.getHostAddress() + ":" + relay.port();
  }

  String instance() {
    return "w-" + number + "-" + restarts;
  }

  /** Returns how much longer the worker is in slow start, in milliseconds. */
  long slowStartLeftMillis() {
    return Math.max(0, (slowStartEndNanos - System.nanoTime()) / NANOS_PER_MILLI);
  }

  /** Puts the worker into slow start, in service or not, and announces it. */
  private void beginSlowStart(int millis) {
    slowStartEndNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
    announcer.accept(this);
  }

  /** Makes the worker slow; one of an even number says so, as a worker in slow start does. */
  void slowDown(int millis) {
    slow = true;
    if (number % 2 == 0) {
      beginSlowStart(millis);
    }
  }

  Relay relay() {
    return relay;
  }

  boolean isCrashed() {
    return crashed;
  }

  void speedUp() {
    slow = false;
  }

  /** Ends all connections and takes none. */
  void crash() throws IOException {
    crashed = true;
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  /** Takes connections again, at the same address and under another identity. */
  void restart() throws IOException {
    restarts.incrementAndGet();
    listen(server.getLocalPort());
    crashed = false;
    beginSlowStart(SLOW_START_MILLIS);
  }

  private void accept(ServerSocket listening) {
    while (!listening.isClosed()) {
      try {
        Socket connection = listening.accept();
        connections.add(connection);
        SoakThreads.start("worker", () -> serve(connection));
      } catch (IOException e) {
        // Closed, or out of descriptors for a moment.
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      PushbackInputStream in =
          new PushbackInputStream(new BufferedInputStream(connection.getInputStream()));
      String head = HttpText.readHead(in);
      while (head != null) {
        handle(connection, in, head);
        head = HttpText.readHead(in);
      }
    } catch (IOException e) {
      // Broken off, or this worker has crashed.
    } finally {
      connections.remove(connection);
    }
  }

  private void handle(Socket connection, PushbackInputStream in, String head) throws IOException {
    if (HttpText.readBody(in, head) == null) {
      throw new IOException("body cut off");
    }
    String attemptId = HttpText.header(head, "X-Otterpond-Attempt-Id");
    if (!instance().equals(HttpText.header(head, "X-Otterpond-Expected-Instance"))) {
      send(connection, 421, attemptId, "X-Otterpond-Not-Executed: other instance\r\n", "");
      return;
    }
    if (slowStartLeftMillis() > 0) {
      records.addSlowStartArrival(instance());
    }
    if (inProgress.incrementAndGet() > SLOTS) {
      inProgress.decrementAndGet();
      send(connection, 503, attemptId, "X-Otterpond-Not-Executed: full\r\n", "");
      return;
    }
    String key = HttpText.header(head, "X-Otterpond-Operation-Key");
    SoakRecords.Run run = new SoakRecords.Run(attemptId, key, number);
    records.add(run);
    try {
      work(connection, in, workMillis(head));
    } finally {
      run.endedAtNanos = System.nanoTime();
      inProgress.decrementAndGet();
    }
    String seal = "X-Otterpond-Server-Seal: " + instance() + "." + run.arrivedAtNanos + "\r\n";
    send(connection, 200, attemptId, seal, SoakBody.of(attemptId, key, run.arrivedAtNanos));
  }

  /** The last part of the path is the time in milliseconds. */
  private long workMillis(String head) {
    String target = HttpText.secondWord(head);
    long millis = Long.parseLong(target.substring(target.lastIndexOf('/') + 1));
    return slow ? SLOW_FACTOR * millis : millis;
  }

  /** Works, and throws if the other side ends the connection meanwhile. */
  private static void work(Socket connection, PushbackInputStream in, long millis)
      throws IOException {
    long doneAtNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
    for (long left = millis; left > 0; left = (doneAtNanos - System.nanoTime()) / NANOS_PER_MILLI) {
      connection.setSoTimeout((int) Math.min(LISTEN_MILLIS, left));
      awaitBreakOff(in);
    }
    connection.setSoTimeout(0);
  }

  private static void awaitBreakOff(PushbackInputStream in) throws IOException {
    try {
      int next = in.read();
      if (next < 0) {
        throw new IOException("broken off");
      }
      in.unread(next);
      throw new IOException("a second request on a busy connection");
    } catch (SocketTimeoutException e) {
      // The node still waits.
    }
  }

  private static void send(
      Socket connection, int status, String attemptId, String headers, String body)
      throws IOException {
    String response =
        "HTTP/1.1 "
            + status
            + " -\r\nX-Otterpond-Attempt-Id: "
            + attemptId
            + "\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    crash();
    relay.close();
  }
}
