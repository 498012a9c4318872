package org.otterpond.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes connections on to a worker and can hold them up, reset them or lose what the worker sends.
 * Each connection has one thread for each direction.
 */
final class Relay implements AutoCloseable {
  private static final int BACKLOG = 500;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int CONNECT_MILLIS = 1_000;
  private static final long HELD_UP_CHECK_MILLIS = 5;

  private final InetSocketAddress target;
  private final ServerSocket server;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile boolean losingResponses;

  /** The two sides of one connection. */
  private record Pair(Socket node, Socket worker) {
    void reset() {
      closeWithReset(node);
      closeWithReset(worker);
    }
  }

  Relay(InetAddress address, InetSocketAddress target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, BACKLOG, address);
    SoakThreads.start("relay", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Holds everything up, or lets it pass again. */
  void setCut(boolean value) {
    cut = value;
  }

  /** Drops what the worker sends and ends its connections, or lets responses pass again. */
  void setLosingResponses(boolean value) {
    losingResponses = value;
  }

  void resetConnections() {
    pairs.forEach(Pair::reset);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket node = server.accept();
        SoakThreads.start("relay", () -> connect(node));
      } catch (IOException e) {
        // Closed, or out of descriptors for a moment.
      }
    }
  }

  private void connect(Socket node) {
    Socket worker = new Socket();
    Pair pair = new Pair(node, worker);
    pairs.add(pair);
    try {
      awaitPassage();
      worker.connect(target, CONNECT_MILLIS);
      worker.setTcpNoDelay(true);
      node.setTcpNoDelay(true);
      SoakThreads.start("relay", () -> pump(pair, worker, node, true));
      pump(pair, node, worker, false);
    } catch (IOException | InterruptedException e) {
      end(pair);
    }
  }

  private void awaitPassage() throws InterruptedException {
    while (cut) {
      Thread.sleep(HELD_UP_CHECK_MILLIS);
    }
  }

  private void pump(Pair pair, Socket from, Socket to, boolean responses) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        awaitPassage();
        if (responses && losingResponses) {
          break;
        }
        to.getOutputStream().write(buffer, 0, count);
        count = in.read(buffer);
      }
      awaitPassage();
    } catch (IOException | InterruptedException e) {
      // The other side learns of it below.
    }
    end(pair);
  }

  private void end(Pair pair) {
    pair.reset();
    pairs.remove(pair);
  }

  private static void closeWithReset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // Closed already.
    }
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  @Override
  public void close() throws IOException {
    cut = false;
    server.close();
    resetConnections();
  }
}
