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

/** One listening point and the connections that came by it. */
public final class HttpListener implements SelectionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
  private static final long CHECK = 500_000;
  private static final int BACKLOG = 512;

  private final EventLoop eventLoop;
  private final RequestHandler handler;
  private final ServerSocketChannel server;
  private final SelectionKey key;
  private final int maxConnections;
  private final long bodyBound;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  public HttpListener(
      EventLoop eventLoop,
      RequestHandler handler,
      InetSocketAddress at,
      int maxConnections,
      long bodyBound)
      throws IOException {
    this.eventLoop = eventLoop;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.bodyBound = bodyBound;
    server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(at, BACKLOG);
    key = eventLoop.moor(server, SelectionKey.OP_ACCEPT, this);
    eventLoop.after(CHECK, this::check);
  }

  long bodyBound() {
    return bodyBound;
  }

  @Override
  public void ready(SelectionKey k) {
    try {
      for (int i = 0; i < 64; i++) {
        SocketChannel c = server.accept();
        if (c == null) {
          return;
        }
        if (connections.size() >= maxConnections) {
          makeRoom();
        }
        connections.add(new ClientConnection(eventLoop, handler, this, c));
      }
    } catch (IOException e) {
      LOG.warn("event=accept_failed cause=\"{}\"", e.getMessage());
      key.interestOps(0);
      eventLoop.after(100_000, () -> key.interestOps(SelectionKey.OP_ACCEPT));
    }
  }

  private void makeRoom() {
    for (ClientConnection g : connections) {
      if (g.idle()) {
        g.close();
        return;
      }
    }
  }

  private void check() {
    long now = EventLoop.now();
    new ArrayList<>(connections).forEach(g -> g.check(now));
    eventLoop.after(CHECK, this::check);
  }

  void left(ClientConnection g) {
    connections.remove(g);
  }

  public int open() {
    return connections.size();
  }

  public boolean busy() {
    for (ClientConnection g : connections) {
      if (g.busy()) {
        return true;
      }
    }
    return false;
  }

  public void closeIdle() {
    for (ClientConnection g : new ArrayList<>(connections)) {
      if (g.idle()) {
        g.close();
      }
    }
  }
}
