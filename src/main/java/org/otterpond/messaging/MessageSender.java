package org.otterpond.messaging;

import java.util.List;
import java.util.function.Function;
import org.otterpond.config.Route;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ResponseListener;
import org.otterpond.net.WorkerConnection;
import org.otterpond.proxy.GatewayHeaders;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.proxy.WorkerEndpoint;

/** Reads the content of a message and sends it to a worker. */
final class MessageSender implements DeliveryQueue.Target {
  private static final long CONNECT_TIMEOUT_MICROS = 300_000;
  private static final long DEFAULT_TIMEOUT_MICROS = 5_000_000;
  private static final long UNREADABLE_RETRY_MICROS = 500_000;
  private static final int MICROS_PER_MILLI = 1_000;

  private final EventLoop eventLoop;
  private final ProxyMetrics metrics;
  private final ActiveDeliveries active;
  private final DeliveryResultHandler results;
  private final Function<Message, Route> routes;

  /**
   * Creates a sender.
   *
   * @param routes returns the route of a message, or null
   */
  MessageSender(
      EventLoop eventLoop,
      ProxyMetrics metrics,
      ActiveDeliveries active,
      DeliveryResultHandler results,
      Function<Message, Route> routes) {
    this.eventLoop = eventLoop;
    this.metrics = metrics;
    this.active = active;
    this.results = results;
    this.routes = routes;
  }

  @Override
  public void deliver(DeliveryQueue queue, PendingDelivery delivery, WorkerEndpoint endpoint) {
    delivery.partition().deliveryBegan(delivery.message());
    Route route = routes.apply(delivery.message());
    DeliveryAttempt attempt =
        new DeliveryAttempt(
            queue,
            delivery,
            endpoint,
            route == null ? DEFAULT_TIMEOUT_MICROS : route.timeoutMicros(),
            route == null ? 1 : route.maxAttempts());
    endpoint.attemptStarted(EventLoop.now());
    active.began(delivery.partition());
    delivery.partition().whole(delivery.message(), content -> contentRead(attempt, content));
  }

  private void contentRead(DeliveryAttempt attempt, MessageContent content) {
    if (content == null || !attempt.partition().serving() || !attempt.endpoint().inService()) {
      ended(attempt);
      long pauseMicros = content == null ? UNREADABLE_RETRY_MICROS : 0;
      attempt.partition().later(attempt.message(), pauseMicros);
    } else {
      new Transmission(attempt).send(content);
    }
  }

  private void ended(DeliveryAttempt attempt) {
    attempt.endpoint().attemptEnded(EventLoop.now());
    active.ended(attempt.partition());
    attempt.queue().deliverSoon();
  }

  private static HttpMessage request(DeliveryAttempt attempt, MessageContent content) {
    Message message = attempt.message();
    HttpMessage request = HttpMessage.request(content.method(), message.target());
    List<String> headers = content.headers();
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      request.header(headers.get(i), headers.get(i + 1));
    }
    long timeoutMillis = Math.max(1, attempt.timeoutMicros() / MICROS_PER_MILLI);
    request.header(GatewayHeaders.TIME_REMAINING, Long.toString(timeoutMillis));
    String instance = attempt.endpoint().id();
    if (!FixedEndpoints.isFixed(instance)) {
      request.header(GatewayHeaders.EXPECTED_INSTANCE, instance);
    }
    request.header(GatewayHeaders.TENANT_ID, message.tenant());
    return request.body(content.body());
  }

  /** One transmission: the first of response, failure and time-out counts. */
  private final class Transmission implements ResponseListener {
    private final DeliveryAttempt attempt;
    private final long sentAtMicros = EventLoop.now();
    private EventLoop.Timer timer;
    private WorkerConnection connection;
    private boolean done;

    Transmission(DeliveryAttempt attempt) {
      this.attempt = attempt;
    }

    void send(MessageContent content) {
      metrics.attempts.increment();
      timer = eventLoop.after(attempt.timeoutMicros(), this::timedOut);
      connection =
          attempt
              .endpoint()
              .connectionPool()
              .send(
                  request(attempt, content),
                  Math.min(CONNECT_TIMEOUT_MICROS, attempt.timeoutMicros()),
                  Long.MAX_VALUE,
                  this);
    }

    @Override
    public void answered(HttpMessage response) {
      if (!done) {
        done = true;
        timer.cancel();
        results.responded(attempt, response, EventLoop.now() - sentAtMicros);
        ended(attempt);
      }
    }

    @Override
    public void failed(boolean written, String why) {
      if (!done) {
        done = true;
        timer.cancel();
        results.failed(attempt, written);
        ended(attempt);
      }
    }

    private void timedOut() {
      if (!done) {
        done = true;
        if (connection != null) {
          connection.abandon();
        }
        ended(attempt);
        results.timedOut(attempt);
      }
    }
  }
}
