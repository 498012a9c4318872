package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.otterpond.protocol.ProtocolException;

/**
 * One connection to another node. Pings detect a peer that does not respond long before the kernel
 * would give it up.
 */
final class PeerConnection implements SocketConnection.Listener {
  private static final long MAX_PENDING_BYTES = 48L << 20;

  /** After so long without a response the peer is pinged. */
  private static final long PING_AFTER_MICROS = 350_000;

  /** After so long without a response the connection is closed. */
  private static final long RESPONSE_TIMEOUT_MICROS = 1_100_000;

  private static final long IDLE_TIMEOUT_MICROS = 60_000_000;

  /**
   * A long frame that is still coming in is responded to this often, so that its sender can tell a
   * slow path from a broken one.
   */
  private static final long PROGRESS_INTERVAL_MICROS = 200_000;

  private static final byte[] NO_BODY = new byte[0];

  private final EventLoop eventLoop;
  private final PeerTransport transport;
  private final SocketConnection socket;
  private final PeerFrameBuffer input = new PeerFrameBuffer();
  private String peerAddress;
  private long number;
  private boolean connected;
  private boolean flushScheduled;
  private long lastReceivedMicros;

  /** Since when a response is awaited; 0 while none is. */
  private long awaitingSinceMicros;

  private long lastUsedMicros;
  private boolean pingSent;
  private long lastProgressMicros;

  /** Takes over a connection that was accepted; its peer has yet to introduce itself. */
  PeerConnection(EventLoop eventLoop, PeerTransport transport, SocketChannel accepted)
      throws IOException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.socket = SocketConnection.accepted(eventLoop, accepted, this);
    this.connected = true;
    this.lastReceivedMicros = EventLoop.now();
    this.lastUsedMicros = lastReceivedMicros;
  }

  /** Creates a connection to a peer; {@link #connect} begins to establish it. */
  PeerConnection(EventLoop eventLoop, PeerTransport transport, String peerAddress)
      throws IOException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.peerAddress = peerAddress;
    this.socket = SocketConnection.outgoing(eventLoop, this);
    this.lastReceivedMicros = EventLoop.now();
    this.lastUsedMicros = lastReceivedMicros;
  }

  void connect(InetSocketAddress address) throws IOException {
    awaitingSinceMicros = EventLoop.now();
    try {
      socket.connect(address);
    } catch (IOException | RuntimeException e) {
      socket.close();
      throw e;
    }
  }

  /** Returns the internal address of the peer; null until it has introduced itself. */
  String peerAddress() {
    return peerAddress;
  }

  /** Returns the number of the connection, by which the transport names it. */
  long number() {
    return number;
  }

  /** Sets whose connection it is, and its number. */
  void identify(String address, long connectionNumber) {
    peerAddress = address;
    number = connectionNumber;
  }

  /** Sends a message; it is lost if too much is pending. */
  void send(byte[] message) {
    if (socket.isClosed() || socket.pendingBytes() > MAX_PENDING_BYTES) {
      return;
    }
    lastUsedMicros = EventLoop.now();
    if (awaitingSinceMicros == 0) {
      awaitingSinceMicros = lastUsedMicros;
    }
    sendFrame(message.length, message);
  }

  private void sendFrame(int length, byte[] body) {
    ByteBuffer frame = ByteBuffer.allocate(PeerFrameBuffer.LENGTH_BYTES + body.length);
    socket.enqueue(frame.putInt(length).put(body).array());
    if (!flushScheduled && connected) {
      flushScheduled = true;
      eventLoop.execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    if (socket.isClosed()) {
      return;
    }
    try {
      socket.flush();
    } catch (IOException e) {
      close(true);
    }
  }

  @Override
  public void connected() throws IOException {
    connected = true;
    lastReceivedMicros = EventLoop.now();
    awaitingSinceMicros = lastReceivedMicros;
    socket.flush();
  }

  @Override
  public void received(ByteBuffer bytes) {
    input.put(bytes);
    lastReceivedMicros = EventLoop.now();
    awaitingSinceMicros = 0;
    pingSent = false;
    try {
      readFrames();
    } catch (ProtocolException e) {
      close(true);
    }
  }

  private void readFrames() throws ProtocolException {
    while (input.hasLength() && !socket.isClosed()) {
      int length = input.length();
      if (length == PeerFrameBuffer.PING) {
        input.skipLength();
        sendFrame(PeerFrameBuffer.PONG, NO_BODY);
      } else if (length == PeerFrameBuffer.PONG) {
        input.skipLength();
      } else if (input.hasFrame(length)) {
        lastUsedMicros = lastReceivedMicros;
        transport.received(this, input.take(length));
      } else {
        reportProgress();
        break;
      }
    }
    input.compact();
  }

  private void reportProgress() {
    if (lastReceivedMicros - lastProgressMicros >= PROGRESS_INTERVAL_MICROS) {
      lastProgressMicros = lastReceivedMicros;
      sendFrame(PeerFrameBuffer.PONG, NO_BODY);
    }
  }

  @Override
  public void endOfInput() {
    close(true);
  }

  @Override
  public void failed(IOException cause) {
    close(true);
  }

  /** Pings a silent peer and closes a dead or unused connection; called from time to time. */
  void checkTimeouts(long nowMicros) {
    boolean awaiting = awaitingSinceMicros != 0;
    long awaitedMicros = nowMicros - awaitingSinceMicros;
    if (awaiting && awaitedMicros > RESPONSE_TIMEOUT_MICROS) {
      close(false);
    } else if (awaiting && connected && !pingSent && awaitedMicros > PING_AFTER_MICROS) {
      pingSent = true;
      sendFrame(PeerFrameBuffer.PING, NO_BODY);
    } else if (nowMicros - lastUsedMicros > IDLE_TIMEOUT_MICROS) {
      close(false);
    }
  }

  private void close(boolean byPeer) {
    if (socket.isClosed()) {
      return;
    }
    socket.close();
    transport.closed(this, !connected, connected && byPeer);
  }
}
