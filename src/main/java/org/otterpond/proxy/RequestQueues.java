package org.otterpond.proxy;

import java.util.Set;
import org.otterpond.net.EventLoop;

/** Serves the request queues of all services: when a worker has a free slot, and by time. */
final class RequestQueues {
  private static final long EXPIRY_CHECK_MICROS = 10_000;

  /** Takes the requests that leave a queue. */
  interface Listener {
    /** A worker can take the request now. */
    void workerAvailable(RequestContext request);

    /** No worker could take the request in time. */
    void expired(RequestContext request);
  }

  private final EventLoop eventLoop;
  private final ServiceDirectory services;
  private Listener listener;
  private boolean expiryCheckScheduled;

  RequestQueues(EventLoop eventLoop, ServiceDirectory services) {
    this.eventLoop = eventLoop;
    this.services = services;
  }

  /** Sets the listener; to be called once, before any request. */
  void setListener(Listener newListener) {
    listener = newListener;
  }

  void add(RequestContext request) {
    request.endpoints.queue().add(request);
    scheduleExpiryCheck();
  }

  /** To be called when a worker of the service may have a free slot. */
  void capacityAvailable(ServiceEndpoints service) {
    if (service.queue().isEmpty()) {
      return;
    }
    if (service.partitioned()) {
      scheduleScan(service);
    } else {
      eventLoop.after(0, () -> serveInOrder(service));
    }
  }

  private void serveInOrder(ServiceEndpoints service) {
    RequestQueue queue = service.queue();
    while (!queue.isEmpty() && service.select(EventLoop.now(), Set.of()) != null) {
      listener.workerAvailable(queue.poll());
    }
  }

  private void scheduleScan(ServiceEndpoints service) {
    if (service.queue().scanScheduled) {
      return;
    }
    service.queue().scanScheduled = true;
    eventLoop.after(0, () -> servePartitioned(service));
  }

  /** Serves the requests whose owner can take them now, past those whose owner cannot. */
  private void servePartitioned(ServiceEndpoints service) {
    RequestQueue queue = service.queue();
    queue.scanScheduled = false;
    for (RequestContext request : queue.inOrder()) {
      WorkerEndpoint owner = service.select(EventLoop.now(), Set.of(), request.partitionKey);
      if (owner != null && queue.remove(request)) {
        listener.workerAvailable(request);
      }
    }
  }

  private void scheduleExpiryCheck() {
    if (!expiryCheckScheduled) {
      expiryCheckScheduled = true;
      eventLoop.after(EXPIRY_CHECK_MICROS, this::checkExpiry);
    }
  }

  private void checkExpiry() {
    expiryCheckScheduled = false;
    long now = EventLoop.now();
    boolean more = false;
    for (ServiceEndpoints service : services.all()) {
      service.queue().removeExpired(now).forEach(listener::expired);
      capacityAvailable(service);
      more |= !service.queue().isEmpty();
    }
    if (more) {
      scheduleExpiryCheck();
    }
  }
}
