package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** One connection to a worker; carries one request at a time. */
public final class WorkerConnection implements SelectionHandler {
  private static final int MAX_ANSWER_HEAD = 64 * 1024;

  private final EventLoop eventLoop;
  private final WorkerConnectionPool pool;
  private final SocketChannel channel;
  private final SelectionKey key;
  private final ReceiveBuffer in = new ReceiveBuffer();
  private final SendBuffer out = new SendBuffer();
  private final HttpMessageParser reader = new HttpMessageParser(in, false);

  private boolean connected;
  private boolean closed;
  private ResponseListener listener;

  /** What the answer must bring back of the request in hand. */
  private String echo;

  private final RecentRequestIds carried = new RecentRequestIds();
  private EventLoop.Timer connectTimer;
  private long connectBy;
  private long usableUntil;
  private long idleSince;
  private long writtenBefore;

  WorkerConnection(
      EventLoop eventLoop, WorkerConnectionPool pool, InetSocketAddress to, long connectMicros)
      throws IOException {
    this.eventLoop = eventLoop;
    this.pool = pool;
    channel = SocketChannel.open();
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    key = eventLoop.moor(channel, SelectionKey.OP_CONNECT, this);
    reader.limits(MAX_ANSWER_HEAD, pool.answerBound());
    try {
      channel.connect(to);
    } catch (IOException | RuntimeException e) {
      key.cancel();
      channel.close();
      throw new IOException("connect", e);
    }
    connectBy = EventLoop.now() + connectMicros;
    connectTimer =
        eventLoop.after(
            connectMicros,
            () -> {
              if (!connected) {
                close("connect_timeout");
              }
            });
  }

  /**
   * Whether an idle connection can carry another request: nothing came, and it is not about to be
   * closed.
   */
  boolean usable(long now) {
    if (closed || now >= usableUntil) {
      return false;
    }
    try {
      return channel.read(eventLoop.scratch()) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether it carried a request of this id before, whose second answer might come late. */
  boolean mayHaveCarried(String id) {
    return carried.mayHold(id);
  }

  long idleSince() {
    return idleSince;
  }

  long usableUntil() {
    return usableUntil;
  }

  void send(HttpMessage request, ResponseListener r) {
    listener = r;
    echo = request.first(pool.echoed());
    carried.add(echo);
    writtenBefore = out.written();
    reader.expect(request.method().equals("HEAD"));
    out.add(SendBuffer.encode(request, true, null));
    if (connected) {
      try {
        flush();
      } catch (IOException e) {
        close("write_failed");
      }
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
        if (EventLoop.now() > connectBy) {
          // This process stood still meanwhile: what is sent now may have been given up elsewhere.
          close("connect_timeout");
          return;
        }
        connected = true;
        connectTimer.cancel();
        flush();
        return;
      }
      if (k.isWritable()) {
        flush();
      }
      if (k.isReadable()) {
        read();
      }
    } catch (IOException e) {
      close(e instanceof MalformedMessageException ? "garbled" : connected ? "reset" : "refused");
    }
  }

  private void read() throws IOException {
    ByteBuffer scratch = eventLoop.scratch();
    int n = channel.read(scratch);
    if (listener == null) {
      // An idle connection has nothing to say but that it ends.
      close("idle_end");
      return;
    }
    if (n > 0) {
      scratch.flip();
      in.put(scratch);
    }
    HttpMessage answer = reader.next(n < 0);
    if (answer == null) {
      if (n < 0) {
        close("ended_early");
      }
      return;
    }
    if (!answer.carries(pool.echoed(), echo)) {
      // An answer to something asked before, or to nobody: this connection can be believed no more.
      close("foreign_answer");
      return;
    }
    ResponseListener r = listener;
    listener = null;
    boolean keep =
        n >= 0
            && !answer.old()
            && !answer.holds("Connection", "close")
            && !in.hasData()
            && out.isEmpty();
    if (keep) {
      in.trim();
      idleSince = EventLoop.now();
      usableUntil = idleSince + pool.idleSpan(answer);
      pool.free(this);
    } else {
      close("done");
    }
    r.answered(answer);
  }

  /**
   * Gives the request up and the connection with it.
   *
   * @return whether any byte of it may have reached the worker; what has not reached it by now
   *     never does
   */
  public boolean abandon() {
    SocketChannels.discard(channel);
    listener = null;
    close("abandoned");
    return anyWritten();
  }

  /**
   * The kernel has taken a byte of the request in hand. What it has taken may arrive, whatever
   * happens here.
   */
  private boolean anyWritten() {
    return out.written() > writtenBefore;
  }

  void close(String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (connectTimer != null) {
      connectTimer.cancel();
    }
    key.cancel();
    ResponseListener r = listener;
    if (r != null) {
      // What the worker has not got of the request by now must not reach it later.
      SocketChannels.discard(channel);
    } else {
      SocketChannels.close(channel);
    }
    pool.left(this);
    listener = null;
    if (r != null) {
      r.failed(anyWritten(), why);
    }
  }
}
