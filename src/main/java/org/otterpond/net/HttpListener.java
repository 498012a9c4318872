package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A listening address for clients, and their connections. */
public final class HttpListener implements SelectionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
  private static final long TIMEOUT_CHECK_MICROS = 500_000;
  private static final long ACCEPT_PAUSE_MICROS = 100_000;
  private static final int BACKLOG = 512;
  private static final int MAX_ACCEPTS_PER_ROUND = 64;

  private final EventLoop eventLoop;
  private final RequestHandler handler;
  private final ServerSocketChannel server;
  private final SelectionKey key;
  private final int maxConnections;
  private final long maxBodyBytes;

  /** In the order in which they were accepted. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /**
   * Begins to listen.
   *
   * @param maxConnections above this number the oldest idle connection is closed for a new one
   * @param maxBodyBytes the longest body of a request, whatever the limits of the handler are
   * @throws IOException if the address cannot be used
   */
  public HttpListener(
      EventLoop eventLoop,
      RequestHandler handler,
      InetSocketAddress address,
      int maxConnections,
      long maxBodyBytes)
      throws IOException {
    this.eventLoop = eventLoop;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.maxBodyBytes = maxBodyBytes;
    server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(address, BACKLOG);
    key = eventLoop.register(server, SelectionKey.OP_ACCEPT, this);
    eventLoop.after(TIMEOUT_CHECK_MICROS, this::checkTimeouts);
  }

  long maxBodyBytes() {
    return maxBodyBytes;
  }

  @Override
  public void ready(SelectionKey selected) {
    acceptWaiting();
  }

  private void acceptWaiting() {
    try {
      for (int i = 0; i < MAX_ACCEPTS_PER_ROUND; i++) {
        SocketChannel channel = server.accept();
        if (channel == null) {
          return;
        }
        if (connections.size() >= maxConnections) {
          closeOldestIdle();
        }
        connections.add(new ClientConnection(eventLoop, handler, this, channel));
      }
    } catch (IOException e) {
      LOG.warn("event=accept_failed cause=\"{}\"", e.getMessage());
      key.interestOps(0);
      eventLoop.after(ACCEPT_PAUSE_MICROS, this::resumeAccepting);
    }
  }

  private void resumeAccepting() {
    if (key.isValid()) {
      key.interestOps(SelectionKey.OP_ACCEPT);
    }
  }

  private void closeOldestIdle() {
    for (ClientConnection connection : connections) {
      if (connection.isIdle()) {
        connection.close();
        return;
      }
    }
  }

  private void checkTimeouts() {
    long now = EventLoop.now();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.checkTimeouts(now);
    }
    eventLoop.after(TIMEOUT_CHECK_MICROS, this::checkTimeouts);
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /** Whether any request is being served or any response being written. */
  public boolean busy() {
    for (ClientConnection connection : connections) {
      if (connection.isBusy()) {
        return true;
      }
    }
    return false;
  }

  /** Accepts what waits and nothing more: further connections are refused at once. */
  public void stopAccepting() {
    acceptWaiting();
    try {
      server.close();
    } catch (IOException e) {
      LOG.warn("event=close_failed cause=\"{}\"", e.getMessage());
    }
  }

  /** Reads and handles what has arrived on the connections. */
  public void readPending() {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.readPending();
    }
  }

  /** Closes the connections that are between two requests. */
  public void closeIdle() {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      if (connection.isIdle()) {
        connection.close();
      }
    }
  }
}
