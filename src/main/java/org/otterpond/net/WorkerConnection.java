package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** One connection to a worker; it carries one request at a time. */
public final class WorkerConnection implements SocketConnection.Listener {
  private static final int MAX_RESPONSE_HEADER_BYTES = 64 * 1024;

  private final WorkerConnectionPool pool;
  private final SocketConnection socket;
  private final ReceiveBuffer input = new ReceiveBuffer();
  private final HttpMessageParser parser = HttpMessageParser.ofResponses(input);
  private final RecentRequestIds carriedIds = new RecentRequestIds();
  private final EventLoop.Timer connectTimer;
  private final long connectDeadlineMicros;

  private boolean connected;
  private boolean closed;

  /** Gets the outcome of the request in flight; null while there is none. */
  private ResponseListener listener;

  /** The id that the response to the request in flight must carry; null if there is none. */
  private String expectedId;

  /** What the kernel had taken before the request in flight. */
  private long writtenBeforeRequest;

  /** Whether anything has come in since the request in flight was begun. */
  private boolean responseStarted;

  private long idleSinceMicros;
  private long reusableUntilMicros;

  /**
   * Begins to establish a connection.
   *
   * @throws IOException if that is rejected at once
   */
  WorkerConnection(
      EventLoop eventLoop, WorkerConnectionPool pool, InetSocketAddress address, long connectMicros)
      throws IOException {
    this.pool = pool;
    socket = SocketConnection.outgoing(eventLoop, this);
    parser.limits(MAX_RESPONSE_HEADER_BYTES, pool.maxResponseBytes());
    try {
      socket.connect(address);
    } catch (IOException | RuntimeException e) {
      socket.close();
      throw new IOException("cannot connect to " + address, e);
    }
    connectDeadlineMicros = EventLoop.now() + connectMicros;
    connectTimer = eventLoop.after(connectMicros, this::connectTimedOut);
  }

  private void connectTimedOut() {
    if (!connected) {
      close(CloseReason.CONNECT_TIMEOUT);
    }
  }

  /**
   * Whether the idle connection can carry a request: nothing came in and it is not to be closed.
   */
  boolean isReusable(long nowMicros) {
    return !closed && nowMicros < reusableUntilMicros && socket.isOpenAndSilent();
  }

  /** Whether it may have carried a request of this id, whose second response might come late. */
  boolean mayHaveCarried(String id) {
    return carriedIds.mayContain(id);
  }

  long idleSinceMicros() {
    return idleSinceMicros;
  }

  long reusableUntilMicros() {
    return reusableUntilMicros;
  }

  void send(HttpMessage request, ResponseListener responseListener) {
    listener = responseListener;
    expectedId = request.firstHeader(pool.idHeader());
    carriedIds.add(expectedId);
    writtenBeforeRequest = socket.writtenBytes();
    responseStarted = false;
    parser.responseToHead(request.method().equals("HEAD"));
    socket.enqueue(HttpMessageEncoder.encode(request, true, null));
    if (connected) {
      try {
        socket.flush();
      } catch (IOException e) {
        close(CloseReason.WRITE_FAILED);
      }
    }
  }

  @Override
  public void connected() throws IOException {
    if (EventLoop.now() > connectDeadlineMicros) {
      // This process was suspended meanwhile; other nodes may have given up on its requests.
      close(CloseReason.CONNECT_TIMEOUT);
      return;
    }
    connected = true;
    connectTimer.cancel();
    socket.flush();
  }

  @Override
  public void received(ByteBuffer bytes) throws IOException {
    responseStarted |= bytes.hasRemaining();
    input.put(bytes);
    advance(false);
  }

  @Override
  public void endOfInput() throws IOException {
    advance(true);
  }

  @Override
  public void failed(IOException cause) {
    if (cause instanceof MalformedMessageException) {
      close(CloseReason.MALFORMED_RESPONSE);
    } else {
      close(connected ? CloseReason.RESET : CloseReason.REFUSED);
    }
  }

  private void advance(boolean inputEnded) throws IOException {
    if (listener == null) {
      close(CloseReason.IDLE_INPUT);
      return;
    }
    HttpMessage response = parser.next(inputEnded);
    if (response == null) {
      if (inputEnded) {
        close(CloseReason.ENDED_EARLY);
      }
      return;
    }
    if (!response.hasOnly(pool.idHeader(), expectedId)) {
      // It answers an earlier request, or none: nothing on this connection can be trusted any more.
      close(CloseReason.RESPONSE_TO_OTHER_REQUEST);
      return;
    }
    ResponseListener responseListener = listener;
    listener = null;
    if (inputEnded || !allowsReuse(response)) {
      close(CloseReason.NOT_REUSABLE);
    } else {
      becomeIdle(response);
    }
    responseListener.answered(response);
  }

  private boolean allowsReuse(HttpMessage response) {
    return !response.isHttp10()
        && !response.hasToken("Connection", "close")
        && !input.hasData()
        && socket.isFlushed();
  }

  private void becomeIdle(HttpMessage response) {
    input.trim();
    idleSinceMicros = EventLoop.now();
    reusableUntilMicros = idleSinceMicros + pool.reusableMicros(response);
    pool.addIdle(this);
  }

  /**
   * Gives up on the request in flight and closes the connection. The listener is not called.
   *
   * @return whether any byte of the request may have reached the worker; if not, it never will
   */
  public boolean abandon() {
    socket.reset();
    listener = null;
    close(CloseReason.ABANDONED);
    return progress().mayHaveReachedWorker();
  }

  /** Whether the given listener still waits for its response on this connection. */
  public boolean awaitsResponse(ResponseListener responseListener) {
    return listener != null && listener == responseListener;
  }

  /** Whether any byte of the request in flight may have reached the worker. */
  public boolean requestMayHaveReachedWorker() {
    return progress().mayHaveReachedWorker();
  }

  /** Whether the kernel has taken all of the request in flight. */
  public boolean requestSent() {
    return progress().isSent();
  }

  private RequestProgress progress() {
    if (socket.writtenBytes() == writtenBeforeRequest) {
      return connected ? RequestProgress.NOT_SENT : RequestProgress.CONNECTING;
    }
    if (!socket.isFlushed()) {
      return RequestProgress.PARTLY_SENT;
    }
    return responseStarted ? RequestProgress.RESPONSE_INCOMPLETE : RequestProgress.SENT;
  }

  void close(CloseReason reason) {
    if (closed) {
      return;
    }
    closed = true;
    connectTimer.cancel();
    ResponseListener responseListener = listener;
    listener = null;
    if (responseListener == null) {
      socket.close();
    } else {
      // What has not reached the worker by now must not reach it later.
      socket.reset();
    }
    pool.remove(this);
    if (responseListener != null) {
      responseListener.failed(progress().mayHaveReachedWorker(), reason.label());
    }
  }
}
