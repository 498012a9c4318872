package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A non-blocking socket with its output buffer. It reads, writes, keeps the interest set of its key
 * and closes; the protocol is up to its listener.
 */
final class SocketConnection implements SelectionHandler {
  private final EventLoop eventLoop;
  private final SocketChannel channel;
  private final Listener listener;
  private final SelectionKey key;
  private final SendBuffer output = new SendBuffer();
  private boolean closed;

  /** The protocol spoken on a connection. Each exception is passed to {@link #failed}. */
  interface Listener {
    /** The connection that was being established is up. */
    default void connected() throws IOException {}

    /**
     * Bytes were read.
     *
     * @param bytes valid until this method returns or something is read or written
     */
    void received(ByteBuffer bytes) throws IOException;

    /** The other side has ended its output. */
    void endOfInput() throws IOException;

    /** All output has been taken by the kernel. */
    default void outputFlushed() throws IOException {}

    /** The connection cannot be used any more; it has to be closed. */
    void failed(IOException cause);
  }

  private SocketConnection(
      EventLoop eventLoop, SocketChannel channel, int interestOps, Listener listener)
      throws IOException {
    this.eventLoop = eventLoop;
    this.channel = channel;
    this.listener = listener;
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    this.key = eventLoop.register(channel, interestOps, this);
  }

  /** Takes over a connection that was accepted. */
  static SocketConnection accepted(EventLoop eventLoop, SocketChannel channel, Listener listener)
      throws IOException {
    return new SocketConnection(eventLoop, channel, SelectionKey.OP_READ, listener);
  }

  /** Creates a connection that is not established yet; {@link #connect} begins that. */
  static SocketConnection outgoing(EventLoop eventLoop, Listener listener) throws IOException {
    return new SocketConnection(eventLoop, SocketChannel.open(), SelectionKey.OP_CONNECT, listener);
  }

  /**
   * Begins to establish the connection.
   *
   * @throws RuntimeException if the address cannot be used
   */
  void connect(InetSocketAddress address) throws IOException {
    channel.connect(address);
  }

  @Override
  public void ready(SelectionKey selected) {
    try {
      if (key.isConnectable()) {
        channel.finishConnect();
        key.interestOps(SelectionKey.OP_READ);
        listener.connected();
        return;
      }
      if (key.isWritable()) {
        flush();
      }
      if (!closed && key.isReadable()) {
        read();
      }
    } catch (IOException e) {
      listener.failed(e);
    }
  }

  private void read() throws IOException {
    ByteBuffer buffer = eventLoop.ioBuffer();
    int count = channel.read(buffer);
    if (count < 0) {
      listener.endOfInput();
    } else if (count > 0) {
      buffer.flip();
      receive(buffer);
    }
  }

  /** Passes input on. Where memory ends meanwhile a part may be lost, so the connection fails. */
  private void receive(ByteBuffer input) throws IOException {
    try {
      listener.received(input);
    } catch (OutOfMemoryError e) {
      listener.failed(new IOException("out of memory", e));
      throw e;
    }
  }

  /**
   * Reads what has come in since the last time, as if the socket had just become readable: whether
   * the other side has left may be needed before the next round of the event loop.
   */
  void readPending() {
    if (closed || (key.interestOps() & SelectionKey.OP_READ) == 0) {
      return;
    }
    try {
      read();
    } catch (IOException e) {
      listener.failed(e);
    }
  }

  /** Whether the connection is open and nothing has come in; what has come in is discarded. */
  boolean isOpenAndSilent() {
    try {
      return !closed && channel.read(eventLoop.ioBuffer()) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Adds output, which goes out with the next {@link #flush}. */
  void enqueue(byte[] bytes) {
    output.add(bytes);
  }

  /** Writes what the kernel takes; the rest follows when the socket is writable again. */
  void flush() throws IOException {
    boolean flushed = output.flush(channel, eventLoop.ioBuffer());
    setInterest(SelectionKey.OP_WRITE, !flushed);
    if (flushed) {
      listener.outputFlushed();
    }
  }

  void pauseReading() {
    setInterest(SelectionKey.OP_READ, false);
  }

  private void setInterest(int operation, boolean wanted) {
    int current = key.interestOps();
    int next = wanted ? current | operation : current & ~operation;
    if (next != current) {
      key.interestOps(next);
    }
  }

  /** Whether all output has been taken by the kernel. */
  boolean isFlushed() {
    return output.isEmpty();
  }

  /** Returns how many bytes of output wait in this process. */
  long pendingBytes() {
    return output.pendingBytes();
  }

  /** Returns how many bytes the kernel has taken since the connection was created. */
  long writtenBytes() {
    return output.writtenBytes();
  }

  /** Ends the output; the other side may still send. */
  void endOutput() throws IOException {
    channel.shutdownOutput();
  }

  boolean isClosed() {
    return closed;
  }

  /** Closes the connection; the kernel goes on to deliver what it has taken. */
  void close() {
    closed = true;
    key.cancel();
    try {
      channel.close();
    } catch (IOException ignored) {
      // Nothing more can be done for this socket.
    }
  }

  /**
   * Closes the connection so that nothing more is delivered. After an ordinary close the kernel
   * would retransmit undelivered bytes for minutes: after a network partition they could arrive
   * long after the sender has given up on them.
   */
  void reset() {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException ignored) {
      // The socket is closed already, or just below.
    }
    close();
  }
}
