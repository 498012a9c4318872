package org.otterpond.messaging;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.proxy.GatewayHeaders;
import org.otterpond.proxy.ProxyMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides what follows from the end of a delivery attempt: the end of the message, or a retry. */
final class DeliveryResultHandler {
  private static final Logger LOG = LoggerFactory.getLogger(DeliveryResultHandler.class);
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int UNPROCESSABLE = 422;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final long REJECTED_BACKOFF_MICROS = 25_000;
  private static final long FAILED_BACKOFF_MICROS = 60_000;
  private static final long UNKNOWN_BACKOFF_MICROS = 150_000;
  private static final long MAX_BACKOFF_MICROS = 3_000_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  private final Random random;
  private final ProxyMetrics metrics;
  private final Map<String, Integer> retriesById = new HashMap<>();
  private MessageStore store;

  DeliveryResultHandler(Random random, ProxyMetrics metrics) {
    this.random = random;
    this.metrics = metrics;
  }

  /** Sets the store; to be called once, before any delivery. */
  void setStore(MessageStore messageStore) {
    store = messageStore;
  }

  /** The worker gave a complete response. */
  void responded(DeliveryAttempt attempt, HttpMessage response, long latencyMicros) {
    long now = EventLoop.now();
    int status = response.status();
    if (response.firstHeader(GatewayHeaders.NOT_EXECUTED) != null
        || status == MISDIRECTED_REQUEST) {
      rejected(attempt, status, now);
      return;
    }
    attempt.endpoint().requestExecuted(now);
    attempt.queue().endpoints().latency().add(latencyMicros);
    String serverSeal = response.firstHeader(GatewayHeaders.SERVER_SEAL);
    if (status / 100 == 2 && serverSeal != null) {
      metrics.responses.increment();
      end(attempt, MessageState.COMPLETED, serverSeal);
    } else if (status == UNPROCESSABLE) {
      end(attempt, MessageState.DEAD_LETTER, null);
    } else if (status == SERVER_ERROR) {
      executionFailed(attempt);
    } else {
      retry(attempt.delivery(), UNKNOWN_BACKOFF_MICROS);
    }
  }

  /** The worker says that it has not executed the message. */
  private void rejected(DeliveryAttempt attempt, int status, long now) {
    metrics.rejectedByWorker.increment();
    if (status == MISDIRECTED_REQUEST) {
      attempt.endpoint().attemptFailed(now);
    } else if (status == UNAVAILABLE) {
      attempt.endpoint().requestRejected(now);
    }
    retry(attempt.delivery(), REJECTED_BACKOFF_MICROS);
  }

  private void executionFailed(DeliveryAttempt attempt) {
    Message message = attempt.message();
    store.attemptFailed(attempt.partition(), message);
    if (message.attempts() >= attempt.maxAttempts()) {
      LOG.info("event=message_dead id={} attempts={}", message.id(), message.attempts());
      end(attempt, MessageState.DEAD_LETTER, null);
    } else {
      retry(attempt.delivery(), FAILED_BACKOFF_MICROS);
    }
  }

  private void end(DeliveryAttempt attempt, MessageState state, String serverSeal) {
    retriesById.remove(attempt.message().id());
    store.ended(attempt.partition(), attempt.message(), state, serverSeal);
  }

  /** The worker gave no complete response; {@code written} says whether it may have the request. */
  void failed(DeliveryAttempt attempt, boolean written) {
    attempt.endpoint().attemptFailed(EventLoop.now());
    metrics.failedAttempts.increment();
    retry(attempt.delivery(), written ? UNKNOWN_BACKOFF_MICROS : REJECTED_BACKOFF_MICROS);
  }

  /** The worker did not answer in time. */
  void timedOut(DeliveryAttempt attempt) {
    metrics.timeouts.increment();
    retry(attempt.delivery(), UNKNOWN_BACKOFF_MICROS);
  }

  /** Offers the message again after a backoff that doubles with each retry and is spread. */
  private void retry(PendingDelivery delivery, long firstBackoffMicros) {
    Message message = delivery.message();
    if (!delivery.partition().serving()) {
      retriesById.remove(message.id());
      delivery.partition().later(message, firstBackoffMicros);
      return;
    }
    metrics.retries.increment();
    int retries = retriesById.merge(message.id(), 1, Integer::sum) - 1;
    long backoffMicros =
        Math.min(
            MAX_BACKOFF_MICROS, firstBackoffMicros << Math.min(MAX_BACKOFF_DOUBLINGS, retries));
    long spreadMicros = (long) (backoffMicros * random.nextDouble() / 2);
    delivery.partition().later(message, backoffMicros / 2 + spreadMicros);
  }
}
