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
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages between nodes. One connection serves both directions; when it breaks, messages are
 * lost as a whole and those of a new connection follow.
 */
public final class PeerTransport implements SelectionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);
  private static final long TIMEOUT_CHECK_MICROS = 300_000;
  private static final long RECONNECT_PAUSE_MICROS = 150_000;
  private static final int BACKLOG = 128;

  /** In place of the number of a connection that does not exist. */
  private static final long NO_CONNECTION = 0;

  private final EventLoop eventLoop;
  private final String ownAddress;
  private final BiConsumer<String, WireRecord> receiver;
  private final LossListener lossListener;
  private final ServerSocketChannel server;

  /** The connection that is used for each address. */
  private final Map<String, PeerConnection> current = new HashMap<>();

  /** All connections that are open, among them those whose peer is unknown yet. */
  private final List<PeerConnection> open = new ArrayList<>();

  /** When a connection to an address could not be established, in microseconds. */
  private final Map<String, Long> failedAtMicros = new HashMap<>();

  private long connectionsNumbered;

  /** Learns of connections whose messages may be lost. */
  @FunctionalInterface
  public interface LossListener {
    /**
     * The peer closed the connection that is used for its address, or it was never established.
     *
     * @param address the internal address of the peer
     * @param neverEstablished whether nothing was sent at all
     * @param connection the number of the connection ({@link PeerTransport#connection}), 0 if there
     *     was none
     */
    void connectionLost(String address, boolean neverEstablished, long connection);
  }

  /**
   * Begins to listen for other nodes.
   *
   * @param ownAddress the internal address of this node, as host:port
   * @param receiver gets each message and the internal address of its sender
   * @throws IOException if the address cannot be used
   */
  public PeerTransport(
      EventLoop eventLoop,
      String ownAddress,
      BiConsumer<String, WireRecord> receiver,
      LossListener lossListener)
      throws IOException {
    this.eventLoop = eventLoop;
    this.ownAddress = ownAddress;
    this.receiver = receiver;
    this.lossListener = lossListener;
    server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(address(ownAddress), BACKLOG);
    eventLoop.register(server, SelectionKey.OP_ACCEPT, this);
    eventLoop.after(TIMEOUT_CHECK_MICROS, this::checkTimeouts);
  }

  /** Returns the socket address of a text of the form host:port. */
  public static InetSocketAddress address(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    return new InetSocketAddress(
        hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
  }

  @Override
  public void ready(SelectionKey key) {
    try {
      SocketChannel channel = server.accept();
      while (channel != null) {
        open.add(new PeerConnection(eventLoop, this, channel));
        channel = server.accept();
      }
    } catch (IOException e) {
      LOG.warn("event=peer_accept_failed cause=\"{}\"", e.getMessage());
    }
  }

  /**
   * Returns the number of the connection that is used for an address; 0 if there is none, as too
   * little time has passed since the last attempt.
   */
  public long connection(String address) {
    PeerConnection connection = current.get(address);
    return connection == null ? NO_CONNECTION : connection.number();
  }

  /** Sends a message, on a new connection if there is none. */
  public void send(String address, WireRecord message) {
    if (address.equals(ownAddress)) {
      eventLoop.execute(() -> receiver.accept(ownAddress, message));
      return;
    }
    PeerConnection connection = current.get(address);
    if (connection == null) {
      connection = connect(address);
      if (connection == null) {
        // Whoever awaits a response must learn that nothing was sent.
        eventLoop.execute(() -> lossListener.connectionLost(address, true, NO_CONNECTION));
        return;
      }
    }
    connection.send(WireRecordCodec.encode(message));
  }

  /** Begins to establish a connection; null if that fails at once or it is too early to retry. */
  private PeerConnection connect(String address) {
    Long failed = failedAtMicros.get(address);
    if (failed != null && EventLoop.now() - failed < RECONNECT_PAUSE_MICROS) {
      return null;
    }
    PeerConnection connection;
    try {
      connection = new PeerConnection(eventLoop, this, address);
      connection.connect(address(address));
    } catch (IOException | RuntimeException e) {
      failedAtMicros.put(address, EventLoop.now());
      return null;
    }
    connectionsNumbered++;
    connection.identify(address, connectionsNumbered);
    current.put(address, connection);
    open.add(connection);
    WireRecord introduction = new PeerIntroduction(ownAddress).toWireRecord();
    connection.send(WireRecordCodec.encode(introduction));
    return connection;
  }

  void received(PeerConnection connection, WireRecord message) {
    if (message.kind().equals(PeerIntroduction.KIND)) {
      introduce(connection, message);
    } else if (connection.peerAddress() != null) {
      receiver.accept(connection.peerAddress(), message);
    }
  }

  private void introduce(PeerConnection connection, WireRecord message) {
    PeerIntroduction introduction;
    try {
      introduction = PeerIntroduction.of(message);
    } catch (ProtocolException e) {
      LOG.warn("event=malformed_message from=unknown cause={}", e.getMessage());
      return;
    }
    String address = introduction.address();
    connectionsNumbered++;
    connection.identify(address, connectionsNumbered);
    current.put(address, connection);
    failedAtMicros.remove(address);
  }

  void closed(PeerConnection connection, boolean neverEstablished, boolean byPeer) {
    open.remove(connection);
    String address = connection.peerAddress();
    if (address == null) {
      return;
    }
    boolean wasCurrent = current.remove(address, connection);
    if (wasCurrent && (byPeer || neverEstablished)) {
      lossListener.connectionLost(address, neverEstablished, connection.number());
    }
    if (neverEstablished) {
      failedAtMicros.put(address, EventLoop.now());
    }
  }

  private void checkTimeouts() {
    long now = EventLoop.now();
    for (PeerConnection connection : new ArrayList<>(open)) {
      connection.checkTimeouts(now);
    }
    eventLoop.after(TIMEOUT_CHECK_MICROS, this::checkTimeouts);
  }
}
