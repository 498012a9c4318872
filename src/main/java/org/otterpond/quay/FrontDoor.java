package org.otterpond.quay;

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
public final class FrontDoor implements Mooring {
  private static final Logger LOG = LoggerFactory.getLogger(FrontDoor.class);
  private static final long CHECK = 500_000;
  private static final int BACKLOG = 512;

  private final Quay quay;
  private final CallHandler handler;
  private final ServerSocketChannel server;
  private final SelectionKey key;
  private final int maxConnections;
  private final long bodyBound;
  private final Set<Gangway> gangways = new LinkedHashSet<>();

  public FrontDoor(
      Quay quay, CallHandler handler, InetSocketAddress at, int maxConnections, long bodyBound)
      throws IOException {
    this.quay = quay;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.bodyBound = bodyBound;
    server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(at, BACKLOG);
    key = quay.moor(server, SelectionKey.OP_ACCEPT, this);
    quay.after(CHECK, this::check);
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
        if (gangways.size() >= maxConnections) {
          makeRoom();
        }
        gangways.add(new Gangway(quay, handler, this, c));
      }
    } catch (IOException e) {
      LOG.warn("event=accept_failed cause=\"{}\"", e.getMessage());
      key.interestOps(0);
      quay.after(100_000, () -> key.interestOps(SelectionKey.OP_ACCEPT));
    }
  }

  private void makeRoom() {
    for (Gangway g : gangways) {
      if (g.idle()) {
        g.close();
        return;
      }
    }
  }

  private void check() {
    long now = Quay.now();
    new ArrayList<>(gangways).forEach(g -> g.check(now));
    quay.after(CHECK, this::check);
  }

  void left(Gangway g) {
    gangways.remove(g);
  }

  public int open() {
    return gangways.size();
  }

  public boolean busy() {
    for (Gangway g : gangways) {
      if (g.busy()) {
        return true;
      }
    }
    return false;
  }

  public void closeIdle() {
    for (Gangway g : new ArrayList<>(gangways)) {
      if (g.idle()) {
        g.close();
      }
    }
  }
}
