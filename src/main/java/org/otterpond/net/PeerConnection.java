package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecordCodec;

/**
 * One connection to another node: frames of a length and CBOR, and empty frames by which a silent
 * peer is noticed long before the kernel would give it up.
 */
final class PeerConnection implements SelectionHandler {
  private static final int PING = 0;
  private static final int PONG = -1;
  private static final int MAX_FRAME = 64 << 20;
  private static final int MAX_PENDING = 48 << 20;
  private static final long ASK_AFTER = 350_000;
  private static final long DEAD_AFTER = 1_100_000;
  private static final long IDLE_CLOSE = 60_000_000;

  /**
   * A long frame that is still arriving is answered so often: whoever sends it can tell a slow way
   * from a dead end.
   */
  private static final long ARRIVING = 200_000;

  private final EventLoop eventLoop;
  private final PeerTransport links;
  private final SocketChannel channel;
  private final SelectionKey key;
  private final SendBuffer out = new SendBuffer();
  private byte[] in = new byte[512];
  private int filled;
  private String peer;
  long number;
  private boolean connected;
  private boolean closed;
  private boolean flushDue;
  private long heardAt;
  private long waitingSince;
  private long usedAt;
  private boolean pinged;
  private long arrivingSaid;

  PeerConnection(EventLoop eventLoop, PeerTransport links, SocketChannel channel, String peer)
      throws IOException {
    this.eventLoop = eventLoop;
    this.links = links;
    this.channel = channel;
    this.peer = peer;
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    connected = peer == null;
    key = eventLoop.moor(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
    heardAt = EventLoop.now();
    usedAt = heardAt;
  }

  void connect(InetSocketAddress to) throws IOException {
    waitingSince = EventLoop.now();
    channel.connect(to);
  }

  String peer() {
    return peer;
  }

  void peer(String address) {
    peer = address;
  }

  void send(byte[] body) {
    if (closed || out.pending() > MAX_PENDING) {
      return;
    }
    usedAt = EventLoop.now();
    if (waitingSince == 0) {
      waitingSince = usedAt;
    }
    frame(body.length, body);
  }

  private void frame(int length, byte[] body) {
    out.add(ByteBuffer.allocate(4 + body.length).putInt(length).put(body).array());
    if (!flushDue && connected) {
      flushDue = true;
      eventLoop.execute(this::flushGuarded);
    }
  }

  private void flushGuarded() {
    flushDue = false;
    if (closed) {
      return;
    }
    try {
      flush();
    } catch (IOException e) {
      close(true);
    }
  }

  private void flush() throws IOException {
    out.flush(channel, key, eventLoop.scratch());
  }

  @Override
  public void ready(SelectionKey k) {
    try {
      if (k.isConnectable()) {
        channel.finishConnect();
        connected = true;
        heardAt = EventLoop.now();
        waitingSince = heardAt;
        flush();
        return;
      }
      if (k.isWritable()) {
        flush();
      }
      if (k.isReadable()) {
        read();
      }
    } catch (IOException | ProtocolException e) {
      close(true);
    }
  }

  private void read() throws IOException, ProtocolException {
    ByteBuffer scratch = eventLoop.scratch();
    int n = channel.read(scratch);
    if (n < 0) {
      close(true);
      return;
    }
    scratch.flip();
    if (filled + n > in.length) {
      byte[] wider = new byte[Math.max(in.length * 2, filled + n)];
      System.arraycopy(in, 0, wider, 0, filled);
      in = wider;
    }
    scratch.get(in, filled, n);
    filled += n;
    heardAt = EventLoop.now();
    waitingSince = 0;
    pinged = false;
    int at = 0;
    while (filled - at >= 4 && !closed) {
      int length = ByteBuffer.wrap(in, at, 4).getInt();
      if (length == PING) {
        at += 4;
        frame(PONG, HttpMessage.EMPTY);
        continue;
      }
      if (length == PONG) {
        at += 4;
        continue;
      }
      if (length < 0 || length > MAX_FRAME) {
        throw new ProtocolException("frame of " + length + " bytes", null);
      }
      if (filled - at - 4 < length) {
        arriving();
        break;
      }
      usedAt = heardAt;
      links.received(this, WireRecordCodec.decode(in, at + 4, length));
      at += 4 + length;
    }
    System.arraycopy(in, at, in, 0, filled - at);
    filled -= at;
    if (filled == 0 && in.length > 64 * 1024) {
      in = new byte[512];
    }
  }

  private void arriving() {
    if (heardAt - arrivingSaid >= ARRIVING) {
      arrivingSaid = heardAt;
      frame(PONG, HttpMessage.EMPTY);
    }
  }

  void check(long now) {
    if (waitingSince != 0 && now - waitingSince > DEAD_AFTER) {
      close(false);
    } else if (connected && waitingSince != 0 && !pinged && now - waitingSince > ASK_AFTER) {
      pinged = true;
      frame(PING, HttpMessage.EMPTY);
    } else if (now - usedAt > IDLE_CLOSE) {
      close(false);
    }
  }

  private void close(boolean byPeer) {
    if (closed) {
      return;
    }
    closed = true;
    key.cancel();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to be done for it.
    }
    links.broken(this, !connected, connected && byPeer);
  }
}
