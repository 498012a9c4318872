package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;

/** The connections of this node to one incarnation of a worker. */
public final class WorkerConnectionPool {
  /** For {@link #send}: use a new connection, on which no response to another request can come. */
  public static final long NEW_ONLY = -1;

  /** How long an idle connection is used if the worker sends no Keep-Alive header. */
  private static final long DEFAULT_REUSABLE_MICROS = 4_000_000;

  /** How long before the worker's own time-out an idle connection is used no more. */
  private static final long REUSE_MARGIN_MICROS = 1_300_000;

  /** At least this part of the worker's time-out is used, however short it is. */
  private static final long MIN_REUSE_DIVISOR = 4;

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private final EventLoop eventLoop;
  private final InetSocketAddress address;
  private final long maxResponseBytes;
  private final String idHeader;
  private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param maxResponseBytes the longest body of a response
   * @param idHeader the header that each response must carry with the value that its request had;
   *     if the request had none, the response must have none either
   */
  public WorkerConnectionPool(
      EventLoop eventLoop, InetSocketAddress address, long maxResponseBytes, String idHeader) {
    this.eventLoop = eventLoop;
    this.address = address;
    this.maxResponseBytes = maxResponseBytes;
    this.idHeader = idHeader;
  }

  String idHeader() {
    return idHeader;
  }

  long maxResponseBytes() {
    return maxResponseBytes;
  }

  /**
   * Sends a request on an idle connection or a new one.
   *
   * @param connectMicros how long a new connection may take
   * @param maxIdleMicros how long a connection may have been idle to be used: a worker may have
   *     closed it since, and a request lost on it is not proved unexecuted
   * @return the connection, by which the request can be abandoned; null if none could be begun, in
   *     which case the listener is called later all the same
   */
  public WorkerConnection send(
      HttpMessage request, long connectMicros, long maxIdleMicros, ResponseListener listener) {
    WorkerConnection connection = takeIdle(request.firstHeader(idHeader), maxIdleMicros);
    if (connection == null) {
      try {
        connection = new WorkerConnection(eventLoop, this, address, connectMicros);
      } catch (IOException e) {
        boolean written = RequestProgress.CONNECTING.mayHaveReachedWorker();
        eventLoop.after(0, () -> listener.failed(written, CloseReason.REFUSED.label()));
        return null;
      }
    }
    connection.send(request, listener);
    return connection;
  }

  /**
   * Takes the connection that was used last, of those that can carry a request of this id; null if
   * there is none.
   */
  private WorkerConnection takeIdle(String id, long maxIdleMicros) {
    long now = EventLoop.now();
    Iterator<WorkerConnection> lastUsedFirst = idle.descendingIterator();
    while (lastUsedFirst.hasNext()) {
      WorkerConnection connection = lastUsedFirst.next();
      if (now - connection.idleSinceMicros() > maxIdleMicros) {
        return null;
      }
      if (connection.mayHaveCarried(id)) {
        continue;
      }
      lastUsedFirst.remove();
      if (connection.isReusable(now)) {
        return connection;
      }
      connection.close(CloseReason.STALE);
    }
    return null;
  }

  void addIdle(WorkerConnection connection) {
    if (closed) {
      connection.close(CloseReason.POOL_CLOSED);
    } else {
      idle.addLast(connection);
    }
  }

  void remove(WorkerConnection connection) {
    idle.remove(connection);
  }

  /** Returns how long a connection may be used again after this response. */
  long reusableMicros(HttpMessage response) {
    String keepAlive = response.firstHeader("Keep-Alive");
    if (keepAlive == null) {
      return DEFAULT_REUSABLE_MICROS;
    }
    for (String parameter : keepAlive.split(",", -1)) {
      String trimmed = parameter.trim();
      if (trimmed.regionMatches(true, 0, TIMEOUT_PARAMETER, 0, TIMEOUT_PARAMETER.length())) {
        return reusableMicros(trimmed.substring(TIMEOUT_PARAMETER.length()).trim());
      }
    }
    return DEFAULT_REUSABLE_MICROS;
  }

  private static long reusableMicros(String timeoutSeconds) {
    try {
      long timeoutMicros = MICROS_PER_SECOND * Integer.parseInt(timeoutSeconds);
      return Math.max(timeoutMicros / MIN_REUSE_DIVISOR, timeoutMicros - REUSE_MARGIN_MICROS);
    } catch (NumberFormatException e) {
      return DEFAULT_REUSABLE_MICROS;
    }
  }

  /** Closes the connections that have been idle for too long. */
  public void sweep() {
    long now = EventLoop.now();
    for (WorkerConnection connection : new ArrayList<>(idle)) {
      if (now >= connection.reusableUntilMicros()) {
        connection.close(CloseReason.STALE);
      }
    }
  }

  /** Closes idle connections now, and the others once their responses are complete. */
  public void close() {
    closed = true;
    for (WorkerConnection connection : new ArrayList<>(idle)) {
      connection.close(CloseReason.POOL_CLOSED);
    }
  }
}
