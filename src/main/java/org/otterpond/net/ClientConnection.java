package org.otterpond.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.otterpond.config.ClientLimits;

/** One client's connection: reads a request, waits for its answer, writes it, goes on. */
final class ClientConnection implements SelectionHandler {
  private static final long LINGER = 1_000_000;
  private static final int READ_AHEAD = 64 * 1024;

  private final EventLoop eventLoop;
  private final RequestHandler handler;
  private final HttpListener door;
  private final SocketChannel channel;
  private final SelectionKey key;
  private final ReceiveBuffer in = new ReceiveBuffer();
  private final SendBuffer out = new SendBuffer();
  private final HttpMessageParser reader = new HttpMessageParser(in, true);

  private ServerExchange call;
  private boolean headCall;
  private boolean closing;
  private boolean draining;
  private boolean ended;
  private boolean inputEnded;
  private boolean closed;
  private long since;
  private long firstByteAt;

  ClientConnection(
      EventLoop eventLoop, RequestHandler handler, HttpListener door, SocketChannel channel)
      throws IOException {
    this.eventLoop = eventLoop;
    this.handler = handler;
    this.door = door;
    this.channel = channel;
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    this.key = eventLoop.moor(channel, SelectionKey.OP_READ, this);
    this.since = EventLoop.now();
  }

  @Override
  public void ready(SelectionKey k) {
    try {
      if (k.isWritable()) {
        flush();
      }
      if (!closed && k.isValid() && k.isReadable()) {
        fill();
      }
    } catch (IOException e) {
      close();
    }
  }

  private void fill() throws IOException {
    ByteBuffer scratch = eventLoop.scratch();
    int n = channel.read(scratch);
    if (draining) {
      if (n < 0) {
        close();
      }
      return;
    }
    if (n < 0) {
      inputEnded = true;
      if (call == null && out.isEmpty()) {
        close();
      } else {
        key.interestOps(key.interestOps() & ~SelectionKey.OP_READ);
        if (call != null) {
          // The client has shut its side; most have gone, so nothing more is read here.
          call.gone();
        }
      }
      return;
    }
    if (n == 0) {
      return;
    }
    if (!reader.begun()) {
      firstByteAt = EventLoop.now();
      since = firstByteAt;
    }
    scratch.flip();
    in.put(scratch);
    if (call == null) {
      parse();
    } else if (in.length() > READ_AHEAD) {
      key.interestOps(key.interestOps() & ~SelectionKey.OP_READ);
    }
  }

  private void parse() throws IOException {
    if (call != null || closing || closed) {
      return;
    }
    ClientLimits l = handler.limits();
    reader.limits(l.maxHeaderBytes(), Math.min(l.maxBodyBytes(), door.bodyBound()));
    HttpMessage m;
    try {
      m = reader.next(false);
      if (m == null && reader.takeExpectContinue()) {
        out.add(
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        flush();
      }
    } catch (MalformedMessageException e) {
      refuse(e.status(), e.getMessage());
      return;
    }
    if (m == null) {
      return;
    }
    headCall = m.method().equals("HEAD");
    closing = m.old() ? !m.holds("Connection", "keep-alive") : m.holds("Connection", "close");
    call = new ServerExchange(m, firstByteAt, this);
    handler.handle(call);
  }

  private void refuse(int status, String cause) throws IOException {
    closing = true;
    draining = true;
    out.add(SendBuffer.encode(GatewayResponses.problem(status, cause), true, "close"));
    flush();
  }

  void answer(ServerExchange of, HttpMessage response) {
    if (closed || of != call) {
      return;
    }
    try {
      boolean last = closing || inputEnded || handler.leaving();
      closing = last;
      boolean body = !headCall;
      String connection = last ? "close" : of.request().old() ? "keep-alive" : null;
      out.add(SendBuffer.encode(response, body, connection));
      call = null;
      since = EventLoop.now();
      flush();
      if (!closed && !closing) {
        key.interestOps(key.interestOps() | SelectionKey.OP_READ);
        if (in.hasData()) {
          firstByteAt = since;
          eventLoop.after(0, this::parseGuarded);
        } else {
          in.trim();
        }
      }
    } catch (IOException e) {
      close();
    }
  }

  private void parseGuarded() {
    try {
      parse();
    } catch (IOException e) {
      close();
    }
  }

  private void flush() throws IOException {
    boolean all = out.flush(channel, eventLoop.scratch());
    if (!all) {
      key.interestOps(key.interestOps() | SelectionKey.OP_WRITE);
      return;
    }
    if ((key.interestOps() & SelectionKey.OP_WRITE) != 0) {
      key.interestOps(key.interestOps() & ~SelectionKey.OP_WRITE);
    }
    if (closing && call == null && !ended) {
      finish();
    }
  }

  /**
   * Sends the end, then waits a little for the client's, so that unread bytes do not reset the
   * answer away.
   */
  private void finish() throws IOException {
    ended = true;
    if (inputEnded) {
      close();
      return;
    }
    draining = true;
    channel.shutdownOutput();
    key.interestOps(SelectionKey.OP_READ);
    eventLoop.after(LINGER, this::close);
  }

  /** Whether it is between requests. */
  boolean idle() {
    return call == null && out.isEmpty() && !reader.begun();
  }

  boolean busy() {
    return call != null || !out.isEmpty();
  }

  /** Time-outs, looked at now and then. */
  void check(long now) {
    if (closed || draining) {
      return;
    }
    ClientLimits l = handler.limits();
    if (idle()) {
      if (now - since > l.idleMicros()) {
        close();
      }
    } else if (call == null && out.isEmpty()) {
      if (now - since > l.headerMicros() && !reader.inBody() || now - since > l.idleMicros()) {
        try {
          refuse(408, "the request was not whole in time");
        } catch (IOException e) {
          close();
        }
      }
    } else if (call == null && now - since > 2 * l.idleMicros()) {
      reset();
    }
  }

  /** Breaks off so that nobody takes what went out for a whole answer. */
  void reset() {
    SocketChannels.discard(channel);
    close();
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    key.cancel();
    SocketChannels.close(channel);
    door.left(this);
    if (call != null) {
      call.gone();
    }
  }
}
