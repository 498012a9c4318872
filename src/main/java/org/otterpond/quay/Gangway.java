package org.otterpond.quay;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.otterpond.chart.Limits;

/** One client's connection: reads a request, waits for its answer, writes it, goes on. */
final class Gangway implements Mooring {
  private static final long LINGER = 1_000_000;
  private static final int READ_AHEAD = 64 * 1024;

  private final Quay quay;
  private final CallHandler handler;
  private final FrontDoor door;
  private final SocketChannel channel;
  private final SelectionKey key;
  private final InBuffer in = new InBuffer();
  private final OutBuffer out = new OutBuffer();
  private final MissiveReader reader = new MissiveReader(in, true);

  private Call call;
  private boolean headCall;
  private boolean closing;
  private boolean draining;
  private boolean ended;
  private boolean inputEnded;
  private boolean closed;
  private long since;
  private long firstByteAt;

  Gangway(Quay quay, CallHandler handler, FrontDoor door, SocketChannel channel)
      throws IOException {
    this.quay = quay;
    this.handler = handler;
    this.door = door;
    this.channel = channel;
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    this.key = quay.moor(channel, SelectionKey.OP_READ, this);
    this.since = Quay.now();
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
    ByteBuffer scratch = quay.scratch();
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
      firstByteAt = Quay.now();
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
    Limits l = handler.limits();
    reader.limits(l.maxHeaderBytes(), Math.min(l.maxBodyBytes(), door.bodyBound()));
    Missive m;
    try {
      m = reader.next(false);
      if (m == null && reader.takeExpectContinue()) {
        out.add(
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        flush();
      }
    } catch (BadBytesException e) {
      refuse(e.status(), e.getMessage());
      return;
    }
    if (m == null) {
      return;
    }
    headCall = m.method().equals("HEAD");
    closing = m.old() ? !m.holds("Connection", "keep-alive") : m.holds("Connection", "close");
    call = new Call(m, firstByteAt, this);
    handler.handle(call);
  }

  private void refuse(int status, String cause) throws IOException {
    closing = true;
    draining = true;
    out.add(OutBuffer.encode(Replies.problem(status, cause), true, "close"));
    flush();
  }

  void answer(Call of, Missive response) {
    if (closed || of != call) {
      return;
    }
    try {
      boolean last = closing || inputEnded || handler.leaving();
      closing = last;
      boolean body = !headCall;
      String connection = last ? "close" : of.request().old() ? "keep-alive" : null;
      out.add(OutBuffer.encode(response, body, connection));
      call = null;
      since = Quay.now();
      flush();
      if (!closed && !closing) {
        key.interestOps(key.interestOps() | SelectionKey.OP_READ);
        if (in.hasData()) {
          firstByteAt = since;
          quay.after(0, this::parseGuarded);
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
    boolean all = out.flush(channel, quay.scratch());
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
    quay.after(LINGER, this::close);
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
    Limits l = handler.limits();
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
    Sockets.discard(channel);
    close();
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    key.cancel();
    Sockets.close(channel);
    door.left(this);
    if (call != null) {
      call.gone();
    }
  }
}
