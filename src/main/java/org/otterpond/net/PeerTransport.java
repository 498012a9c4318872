package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections between nodes. One connection serves both ways; messages are lost, whole, when it
 * breaks.
 */
public final class PeerTransport implements SelectionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);
  private static final long CHECK = 300_000;
  private static final long RECONNECT = 150_000;

  private final EventLoop eventLoop;
  private final String self;
  private final BiConsumer<String, WireRecord> receiver;
  private final Lost lost;
  private long connections;
  private final ServerSocketChannel server;
  private final Map<String, PeerConnection> links = new HashMap<>();
  private final List<PeerConnection> all = new ArrayList<>();
  private final Map<String, Long> failedAt = new HashMap<>();

  /**
   * Told that a connection was closed from the other side, or never came up; it is named by its
   * number.
   */
  public interface Lost {
    void lost(String address, boolean neverUp, long connection);
  }

  public PeerTransport(
      EventLoop eventLoop, String self, BiConsumer<String, WireRecord> receiver, Lost lost)
      throws IOException {
    this.lost = lost;
    this.eventLoop = eventLoop;
    this.self = self;
    this.receiver = receiver;
    server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(address(self), 128);
    eventLoop.moor(server, SelectionKey.OP_ACCEPT, this);
    eventLoop.after(CHECK, this::check);
  }

  public static InetSocketAddress address(String point) {
    int colon = point.lastIndexOf(':');
    return new InetSocketAddress(
        point.substring(0, colon), Integer.parseInt(point.substring(colon + 1)));
  }

  @Override
  public void ready(SelectionKey key) {
    try {
      SocketChannel c;
      while ((c = server.accept()) != null) {
        all.add(new PeerConnection(eventLoop, this, c, null));
      }
    } catch (IOException e) {
      LOG.warn("event=link_accept_failed cause=\"{}\"", e.getMessage());
    }
  }

  /**
   * The number of the connection that is used for an address; 0 if there is none, as it is too soon
   * to dial again.
   */
  public long connection(String to) {
    PeerConnection l = links.get(to);
    return l == null ? 0 : l.number;
  }

  public void send(String to, WireRecord f) {
    if (to.equals(self)) {
      eventLoop.execute(() -> receiver.accept(self, f));
      return;
    }
    PeerConnection l = links.get(to);
    if (l == null) {
      Long failed = failedAt.get(to);
      if (failed != null && EventLoop.now() - failed < RECONNECT) {
        // Too soon to dial again: whoever waits for an answer must know that nothing went out.
        eventLoop.execute(() -> lost.lost(to, true, 0));
        return;
      }
      try {
        l = new PeerConnection(eventLoop, this, SocketChannel.open(), to);
        l.connect(address(to));
      } catch (IOException | RuntimeException e) {
        failedAt.put(to, EventLoop.now());
        eventLoop.execute(() -> lost.lost(to, true, 0));
        return;
      }
      l.number = ++connections;
      links.put(to, l);
      all.add(l);
      l.send(WireRecordCodec.encode(new WireRecord("link").with("addr", self)));
    }
    l.send(WireRecordCodec.encode(f));
  }

  void received(PeerConnection from, WireRecord f) {
    if (f.kind().equals("link")) {
      from.peer(f.text("addr"));
      from.number = ++connections;
      links.put(f.text("addr"), from);
      failedAt.remove(f.text("addr"));
    } else if (from.peer() != null) {
      receiver.accept(from.peer(), f);
    }
  }

  void broken(PeerConnection l, boolean neverUp, boolean byPeer) {
    all.remove(l);
    if (l.peer() != null) {
      boolean current = links.remove(l.peer(), l);
      if (current && (byPeer || neverUp)) {
        lost.lost(l.peer(), neverUp, l.number);
      }
      if (neverUp) {
        failedAt.put(l.peer(), EventLoop.now());
      }
    }
  }

  private void check() {
    long now = EventLoop.now();
    new ArrayList<>(all).forEach(l -> l.check(now));
    eventLoop.after(CHECK, this::check);
  }
}
