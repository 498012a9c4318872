package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.net.EventLoop;
import org.otterpond.proxy.ServiceEndpoints;
import org.otterpond.proxy.WorkerEndpoint;

/**
 * The messages that wait for a worker of one service, by priority and then by age. Each service has
 * its own, so that a slow one delays no other.
 */
final class DeliveryQueue {
  private static final long NO_WORKER_RETRY_MICROS = 20_000;
  private static final int MAX_TOKEN_REQUESTS = 6;
  private static final double MIN_TOKEN_RETRY_SECONDS = 0.01;
  private static final double MAX_TOKEN_RETRY_SECONDS = 0.3;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EventLoop eventLoop;
  private final ServiceEndpoints endpoints;
  private final QuotaCache quota;
  private final Target target;
  private final PriorityQueue<PendingDelivery> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt(PendingDelivery::priority)
              .thenComparingLong(PendingDelivery::readyAtMicros));

  /** The name of the tokens of the service's rate limit; null without one. */
  private String rateLimit;

  private int tokenRequests;
  private boolean deliveryScheduled;

  /** Delivers the messages that have got a worker. */
  interface Target {
    void deliver(DeliveryQueue queue, PendingDelivery delivery, WorkerEndpoint endpoint);
  }

  DeliveryQueue(EventLoop eventLoop, ServiceEndpoints endpoints, QuotaCache quota, Target target) {
    this.eventLoop = eventLoop;
    this.endpoints = endpoints;
    this.quota = quota;
    this.target = target;
  }

  ServiceEndpoints endpoints() {
    return endpoints;
  }

  /** Sets the name of the rate limit's tokens, or null, and the connections to one worker. */
  void configure(String newRateLimit, int connectionsPerWorker) {
    rateLimit = newRateLimit;
    endpoints.setConnectionLimit(connectionsPerWorker);
  }

  void add(PendingDelivery delivery) {
    waiting.add(delivery);
    deliverSoon();
  }

  /** Removes and returns all that wait. */
  List<PendingDelivery> removeAll() {
    List<PendingDelivery> all = new ArrayList<>(waiting);
    waiting.clear();
    return all;
  }

  /** Returns all that wait, in no order. */
  Collection<PendingDelivery> waiting() {
    return waiting;
  }

  /** To be called when a worker may have a free slot. */
  void deliverSoon() {
    schedule(0);
  }

  private void schedule(long delayMicros) {
    if (!deliveryScheduled) {
      deliveryScheduled = true;
      eventLoop.after(
          delayMicros,
          () -> {
            deliveryScheduled = false;
            deliverWaiting();
          });
    }
  }

  private void deliverWaiting() {
    while (findDeliverable()) {
      WorkerEndpoint endpoint = endpoints.select(EventLoop.now(), Set.of());
      if (endpoint == null) {
        schedule(NO_WORKER_RETRY_MICROS);
        return;
      }
      if (rateLimit != null && !quota.take(rateLimit)) {
        requestToken();
        return;
      }
      target.deliver(this, waiting.poll(), endpoint);
    }
  }

  /**
   * Returns the messages at the head to their partitions that may not be delivered at this moment.
   *
   * @return whether the head may be delivered; false if nothing is left
   */
  private boolean findDeliverable() {
    while (!waiting.isEmpty() && !waiting.peek().isDeliverable()) {
      waiting.poll().giveBack();
    }
    return !waiting.isEmpty();
  }

  private void requestToken() {
    if (tokenRequests < Math.min(MAX_TOKEN_REQUESTS, waiting.size())) {
      tokenRequests++;
      quota.acquire(rateLimit, new TokenRequest());
    }
  }

  private final class TokenRequest implements QuotaCache.Taker {
    private boolean done;

    @Override
    public boolean waits() {
      return !done;
    }

    @Override
    public void taken() {
      done = true;
      tokenRequests--;
      deliverWithToken();
    }

    @Override
    public void over(double retryAfterSeconds) {
      done = true;
      tokenRequests--;
      double seconds =
          Math.max(MIN_TOKEN_RETRY_SECONDS, Math.min(MAX_TOKEN_RETRY_SECONDS, retryAfterSeconds));
      eventLoop.after((long) (MICROS_PER_SECOND * seconds), DeliveryQueue.this::deliverWaiting);
    }
  }

  /** Uses a token for the first message that can be delivered, or gives it back. */
  private void deliverWithToken() {
    WorkerEndpoint endpoint =
        findDeliverable() ? endpoints.select(EventLoop.now(), Set.of()) : null;
    if (endpoint != null) {
      target.deliver(this, waiting.poll(), endpoint);
      deliverSoon();
      return;
    }
    if (rateLimit != null) {
      quota.giveBack(rateLimit);
    }
    if (!waiting.isEmpty()) {
      schedule(NO_WORKER_RETRY_MICROS);
    }
  }
}
