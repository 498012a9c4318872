package org.otterpond.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.config.ClientLimits;

/**
 * The connection of a client. It serves one request at a time: the next one is parsed once the
 * response has been given, so responses are in the order of the requests.
 */
final class ClientConnection implements SocketConnection.Listener {
  private static final long LINGER_MICROS = 1_000_000;
  private static final long CLIENT_CHECK_INTERVAL_MICROS = 20_000;
  private static final int REQUEST_TIMEOUT = 408;
  private static final String CLOSE = "close";
  private static final String KEEP_ALIVE = "keep-alive";
  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final EventLoop eventLoop;
  private final RequestHandler handler;
  private final HttpListener listener;
  private final SocketConnection socket;
  private final ReceiveBuffer input = new ReceiveBuffer();
  private final HttpMessageParser parser = HttpMessageParser.ofRequests(input);

  /** The request that is being served; null between requests. */
  private ServerExchange exchange;

  /** The requests whose responses are not complete: the kernel has not taken all of them yet. */
  private final List<ServerExchange> incompleteExchanges = new ArrayList<>(2);

  /** Whether no further request is read after the one that is being served. */
  private boolean closeAfterResponse;

  /** Whether input is discarded, as the last response has been given. */
  private boolean discardingInput;

  private boolean inputEnded;
  private boolean outputEnded;
  private long lastActivityMicros;
  private long lastReadMicros;
  private long firstByteAtMicros;

  ClientConnection(
      EventLoop eventLoop, RequestHandler handler, HttpListener listener, SocketChannel channel)
      throws IOException {
    this.eventLoop = eventLoop;
    this.handler = handler;
    this.listener = listener;
    this.socket = SocketConnection.accepted(eventLoop, channel, this);
    this.lastActivityMicros = EventLoop.now();
    this.lastReadMicros = lastActivityMicros;
  }

  // ------------------------------------------------------------------------------ requests

  @Override
  public void received(ByteBuffer bytes) throws IOException {
    lastReadMicros = EventLoop.now();
    if (discardingInput) {
      return;
    }
    if (!parser.hasBegun()) {
      firstByteAtMicros = lastReadMicros;
      lastActivityMicros = firstByteAtMicros;
    }
    input.put(bytes);
    if (exchange == null) {
      parse();
    } else if (input.length() > maxReadAheadBytes()) {
      stopReadingAhead();
    }
  }

  /**
   * While a request is served the input is read on, as a pause would hide that the client leaves.
   * The longest request that would be accepted is the bound of what is kept.
   */
  private long maxReadAheadBytes() {
    return handler.limits().maxHeaderBytes() + maxBodyBytes();
  }

  /** Discards further input: the client sends the requests that it holds on another connection. */
  private void stopReadingAhead() {
    closeAfterResponse = true;
    discardingInput = true;
  }

  @Override
  public void endOfInput() {
    inputEnded = true;
    closeAfterResponse = true;
    if (outputEnded || (exchange == null && socket.isFlushed())) {
      close();
      return;
    }
    socket.pauseReading();
    notifyClientGone();
  }

  @Override
  public void failed(IOException cause) {
    close();
  }

  private void parse() throws IOException {
    if (exchange != null || closeAfterResponse || socket.isClosed()) {
      return;
    }
    parser.limits(handler.limits().maxHeaderBytes(), maxBodyBytes());
    HttpMessage request;
    try {
      request = parser.next(false);
    } catch (MalformedMessageException e) {
      reject(e.status(), e.getMessage());
      return;
    }
    if (request != null) {
      serve(request);
    } else if (parser.takeContinueExpected()) {
      socket.enqueue(CONTINUE);
      socket.flush();
    }
  }

  private long maxBodyBytes() {
    return Math.min(handler.limits().maxBodyBytes(), listener.maxBodyBytes());
  }

  private void parseBuffered() {
    try {
      parse();
    } catch (IOException e) {
      close();
    }
  }

  private void serve(HttpMessage request) {
    closeAfterResponse =
        request.isHttp10()
            ? !request.hasToken("Connection", KEEP_ALIVE)
            : request.hasToken("Connection", CLOSE);
    exchange = new ServerExchange(request, firstByteAtMicros, this);
    incompleteExchanges.add(exchange);
    ServerExchange begun = exchange;
    // The end of the input may have come with the request, and is to be known before any work.
    socket.readPending();
    handler.handle(begun);
  }

  /** Responds to what is not a request, and reads nothing more. */
  private void reject(int status, String cause) throws IOException {
    closeAfterResponse = true;
    discardingInput = true;
    HttpMessage response = GatewayResponses.problem(status, cause);
    socket.enqueue(HttpMessageEncoder.encode(response, true, CLOSE));
    socket.flush();
  }

  // ----------------------------------------------------------------------------- responses

  /** Sends the response of an exchange; ignored unless it is the one being served. */
  void respond(ServerExchange answered, HttpMessage response) {
    if (socket.isClosed() || answered != exchange) {
      return;
    }
    HttpMessage request = answered.request();
    closeAfterResponse = closeAfterResponse || handler.leaving();
    String keepAlive = request.isHttp10() ? KEEP_ALIVE : null;
    String connection = closeAfterResponse ? CLOSE : keepAlive;
    boolean withBody = !request.method().equals("HEAD");
    try {
      socket.enqueue(HttpMessageEncoder.encode(response, withBody, connection));
      exchange = null;
      lastActivityMicros = EventLoop.now();
      socket.flush();
      if (!socket.isClosed() && !closeAfterResponse) {
        awaitNextRequest();
      }
    } catch (IOException e) {
      close();
    }
  }

  private void awaitNextRequest() {
    if (input.hasData()) {
      firstByteAtMicros = lastActivityMicros;
      eventLoop.after(0, this::parseBuffered);
    } else {
      input.trim();
    }
  }

  @Override
  public void outputFlushed() throws IOException {
    incompleteExchanges.removeIf(ServerExchange::answered);
    if (closeAfterResponse && exchange == null && !outputEnded) {
      endOutput();
    }
  }

  /**
   * Ends the output and waits a little for the end of the input: to close with unread input would
   * reset the connection, and the client might lose the response.
   */
  private void endOutput() throws IOException {
    outputEnded = true;
    if (inputEnded) {
      close();
      return;
    }
    discardingInput = true;
    socket.endOutput();
    eventLoop.after(LINGER_MICROS, this::close);
  }

  // ----------------------------------------------------------------------------- life cycle

  /** Whether it is between two requests. */
  boolean isIdle() {
    return !isBusy() && !parser.hasBegun();
  }

  /** Whether a request is being served or a response being written. */
  boolean isBusy() {
    return exchange != null || !socket.isFlushed();
  }

  /** Ends the connection if the client takes too long; called from time to time. */
  void checkTimeouts(long nowMicros) {
    if (socket.isClosed() || outputEnded || exchange != null) {
      return;
    }
    ClientLimits limits = handler.limits();
    long elapsed = nowMicros - lastActivityMicros;
    if (!socket.isFlushed()) {
      if (elapsed > 2 * limits.idleMicros()) {
        reset();
      }
    } else if (!parser.hasBegun()) {
      if (elapsed > limits.idleMicros()) {
        close();
      }
    } else if (elapsed > limits.idleMicros()
        || (elapsed > limits.headerMicros() && !parser.isInBody())) {
      rejectSlowRequest();
    }
  }

  private void rejectSlowRequest() {
    try {
      reject(REQUEST_TIMEOUT, "the request was not complete in time");
    } catch (IOException e) {
      close();
    }
  }

  /** Resets the connection, so that a response cut off is not taken for a complete one. */
  private void reset() {
    if (!socket.isClosed()) {
      socket.reset();
      ended();
    }
  }

  void close() {
    if (!socket.isClosed()) {
      socket.close();
      ended();
    }
  }

  /** Reads and handles what has arrived. */
  void readPending() {
    socket.readPending();
  }

  /** Looks whether the client has left, unless the input was read a moment ago. */
  void checkClient() {
    if (EventLoop.now() - lastReadMicros >= CLIENT_CHECK_INTERVAL_MICROS) {
      lastReadMicros = EventLoop.now();
      socket.readPending();
    }
  }

  /**
   * Gives the request that is being served no response. The connection is closed, once the response
   * before has gone out: a client that only ended its output may still read that.
   */
  void abandon(ServerExchange abandoned) {
    if (abandoned != exchange) {
      return;
    }
    exchange = null;
    closeAfterResponse = true;
    if (socket.isFlushed()) {
      close();
    }
  }

  private void ended() {
    listener.remove(this);
    notifyClientGone();
  }

  /** Tells those who work for requests of this client that it waits for no response any more. */
  private void notifyClientGone() {
    List<ServerExchange> abandoned = List.copyOf(incompleteExchanges);
    incompleteExchanges.clear();
    abandoned.forEach(ServerExchange::markClientGone);
  }
}
