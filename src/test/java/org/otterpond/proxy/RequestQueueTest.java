package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.config.Route;
import org.otterpond.config.RouteType;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchanges;

/** The order in which queued requests are served, and when they expire. */
class RequestQueueTest {
  private static final long QUEUE_MICROS = 100;

  private final RequestQueue queue = new RequestQueue();

  private static RequestContext request(int priority, long deadlineMicros) {
    Route route =
        new Route(
            "r", "h", "/", RouteType.IDEMPOTENT, 0, 0, priority, List.of(), 1, true, false, 0);
    RequestContext request =
        new RequestContext(
            ServerExchanges.receivedAtMicros(HttpMessage.request("GET", "/"), 0),
            route,
            null,
            null);
    request.setTimeLimits(deadlineMicros, QUEUE_MICROS);
    return request;
  }

  @Test
  void givenQueuedRequests_whenPolled_thenPriorityGoesBeforeDeadline() {
    RequestContext late = request(1, 900);
    RequestContext early = request(1, 500);
    RequestContext lowPriority = request(2, 100);
    List.of(lowPriority, late, early).forEach(queue::add);

    assertEquals(List.of(early, late, lowPriority), queue.inOrder());
    assertEquals(early, queue.poll());
    assertEquals(late, queue.poll());
    assertEquals(lowPriority, queue.poll());
    assertTrue(queue.isEmpty());
  }

  @Test
  void givenQueuedRequest_whenItsTimeInTheQueueIsUp_thenItIsRemoved() {
    RequestContext request = request(1, 900);
    queue.add(request);

    assertEquals(List.of(), queue.removeExpired(QUEUE_MICROS - 1));
    assertFalse(queue.isEmpty());
    assertEquals(List.of(request), queue.removeExpired(QUEUE_MICROS));
    assertTrue(queue.isEmpty());
  }
}
