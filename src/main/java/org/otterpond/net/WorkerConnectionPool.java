package org.otterpond.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/** The connections of this node to one life of a worker. */
public final class WorkerConnectionPool {
  /** For {@link #send}: on a new connection, on which no answer to anything else can come. */
  public static final long NEW_ONLY = -1;

  private static final long IDLE_UNTOLD = 4_000_000;
  private static final long IDLE_MARGIN = 1_300_000;

  private final EventLoop eventLoop;
  private final InetSocketAddress address;
  private final long answerBound;
  private final String echoed;
  private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();
  private final Set<WorkerConnection> all = new HashSet<>();
  private boolean closed;
  private long opened;

  /**
   * @param echoed the header that every answer must bring back as the request had it
   */
  public WorkerConnectionPool(
      EventLoop eventLoop, InetSocketAddress address, long answerBound, String echoed) {
    this.echoed = echoed;
    this.eventLoop = eventLoop;
    this.address = address;
    this.answerBound = answerBound;
  }

  String echoed() {
    return echoed;
  }

  long answerBound() {
    return answerBound;
  }

  /**
   * Sends on a kept connection or a new one; the tender is handed back so that it can be abandoned.
   *
   * @param idleMost how long a connection may have been idle to be used: a worker may have
   *     forgotten it since, and what is sent on it then is lost without proof of not having run
   */
  public WorkerConnection send(
      HttpMessage request, long connectMicros, long idleMost, ResponseListener r) {
    WorkerConnection t = kept(request.first(echoed), idleMost);
    if (t != null) {
      t.send(request, r);
      return t;
    }
    try {
      t = new WorkerConnection(eventLoop, this, address, connectMicros);
    } catch (IOException e) {
      eventLoop.after(0, () -> r.failed(false, "refused"));
      return null;
    }
    opened++;
    all.add(t);
    t.send(request, r);
    return t;
  }

  /**
   * The connection that was used last, of those that can carry a request of this id; null if there
   * is none.
   */
  private WorkerConnection kept(String id, long idleMost) {
    long now = EventLoop.now();
    Iterator<WorkerConnection> it = idle.descendingIterator();
    while (it.hasNext()) {
      WorkerConnection t = it.next();
      if (now - t.idleSince() > idleMost) {
        return null;
      }
      if (t.mayHaveCarried(id)) {
        continue;
      }
      it.remove();
      if (t.usable(now)) {
        return t;
      }
      t.close("stale");
    }
    return null;
  }

  void free(WorkerConnection t) {
    if (closed) {
      t.close("pool_closed");
    } else {
      idle.addLast(t);
    }
  }

  void left(WorkerConnection t) {
    all.remove(t);
    idle.remove(t);
  }

  /** How long an idle connection may be used, going by what the worker said. */
  long idleSpan(HttpMessage answer) {
    String k = answer.first("Keep-Alive");
    if (k != null) {
      for (String part : k.split(",")) {
        String p = part.trim();
        if (p.regionMatches(true, 0, "timeout=", 0, 8)) {
          try {
            long told = 1_000_000L * Integer.parseInt(p.substring(8).trim());
            return Math.max(told / 4, told - IDLE_MARGIN);
          } catch (NumberFormatException e) {
            return IDLE_UNTOLD;
          }
        }
      }
    }
    return IDLE_UNTOLD;
  }

  /** Closes what has been idle too long. */
  public void sweep() {
    long now = EventLoop.now();
    for (WorkerConnection t : new ArrayList<>(idle)) {
      if (now >= t.usableUntil()) {
        t.close("idle");
      }
    }
  }

  /** Lets idle connections go, and busy ones when their answers are in. */
  public void close() {
    closed = true;
    new ArrayList<>(idle).forEach(t -> t.close("pool_closed"));
  }

  public int open() {
    return all.size();
  }

  public long opened() {
    return opened;
  }
}
