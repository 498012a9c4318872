package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The requests to one service that no worker can take now, by priority and then by deadline. */
final class RequestQueue {
  private static final Comparator<RequestContext> ORDER =
      Comparator.comparingInt(RequestContext::priority)
          .thenComparingLong(RequestContext::deadlineMicros);

  private final PriorityQueue<RequestContext> waiting = new PriorityQueue<>(ORDER);

  /** Whether a scan of the queue by partition keys is already scheduled. */
  boolean scanScheduled;

  void add(RequestContext request) {
    waiting.add(request);
  }

  boolean remove(RequestContext request) {
    return waiting.remove(request);
  }

  boolean contains(RequestContext request) {
    return waiting.contains(request);
  }

  /** Removes and returns the first request, or null if the queue is empty. */
  RequestContext poll() {
    return waiting.poll();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns the requests in the order in which they are served. */
  List<RequestContext> inOrder() {
    List<RequestContext> ordered = new ArrayList<>(waiting);
    ordered.sort(ORDER);
    return ordered;
  }

  /** Removes and returns the requests that may not wait any longer. */
  List<RequestContext> removeExpired(long nowMicros) {
    List<RequestContext> expired = new ArrayList<>();
    for (RequestContext request : waiting) {
      if (nowMicros >= request.rejectAtMicros()) {
        expired.add(request);
      }
    }
    waiting.removeAll(expired);
    return expired;
  }
}
