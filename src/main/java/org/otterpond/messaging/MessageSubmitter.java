package org.otterpond.messaging;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import org.otterpond.config.RouteType;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.messaging.message.MessageStoreReply;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.proxy.RequestStage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to the primaries of their partitions, again until one has answered, and answers
 * the clients. A response of status 503 promises that the message was not stored and never will be.
 */
final class MessageSubmitter {
  private static final Logger LOG = LoggerFactory.getLogger(MessageSubmitter.class);
  private static final String MESSAGE_ID = "X-Otterpond-Message-Id";
  private static final long RETRY_MICROS = 40_000;
  private static final long REPLY_TIMEOUT_MICROS = 600_000;
  private static final double MIN_RETRY_AFTER_SECONDS = 0.1;
  private static final double RETRY_AFTER_SPREAD_SECONDS = 0.2;

  private final EventLoop eventLoop;
  private final ControlPlaneAgent agent;
  private final QuotaCache quota;
  private final Random random;
  private final ProxyMetrics metrics;
  private final PartitionDirectory partitions;
  private final Set<MessageSubmission> inFlight = new LinkedHashSet<>();

  MessageSubmitter(
      EventLoop eventLoop,
      ControlPlaneAgent agent,
      Random random,
      ProxyMetrics metrics,
      PartitionDirectory partitions) {
    this.eventLoop = eventLoop;
    this.agent = agent;
    this.quota = agent.stores();
    this.random = random;
    this.metrics = metrics;
    this.partitions = partitions;
  }

  int inFlight() {
    return inFlight.size();
  }

  /** Submits a message, with a token of its tenant's quota if the tenant is limited. */
  void submit(MessageSubmission submission, boolean countsAgainstQuota) {
    inFlight.add(submission);
    submission.exchange.onClientGone(() -> clientGone(submission));
    if (submission.finished) {
      return;
    }
    if (!countsAgainstQuota) {
      send(submission);
      return;
    }
    QuotaCache.Taker reservation = new Reservation(submission);
    quota.acquire(submission.tenant, reservation);
    eventLoop.after(
        submission.rejectAtMicros - EventLoop.now(),
        () -> {
          if (reservation.waits()) {
            reject(submission, "the quota's owner did not answer in time");
          }
        });
  }

  /**
   * The client has left. A message that no store has been sent is dropped; otherwise it may be
   * stored, and is followed up as before.
   */
  private void clientGone(MessageSubmission submission) {
    if (submission.finished) {
      return;
    }
    if (submission.awaitingReply || submission.mayBeStored) {
      metrics.departures.continued(RouteType.ASYNCHRONOUS, RequestStage.ATTEMPT);
    } else {
      metrics.departures.cancelled(RouteType.ASYNCHRONOUS, RequestStage.ADMISSION);
      end(submission);
      submission.exchange.abandon();
    }
  }

  private final class Reservation implements QuotaCache.Taker {
    private final MessageSubmission submission;
    private boolean overQuota;

    Reservation(MessageSubmission submission) {
      this.submission = submission;
    }

    @Override
    public boolean waits() {
      return !overQuota && !submission.quotaTokenReserved && !submission.finished;
    }

    @Override
    public void taken() {
      submission.quotaTokenReserved = true;
      send(submission);
    }

    @Override
    public void over(double retryAfterSeconds) {
      overQuota = true;
      metrics.overQuota.increment();
      finish(
          submission,
          GatewayResponses.overQuota("the tenant's quota is used up", retryAfterSeconds));
    }
  }

  private void send(MessageSubmission submission) {
    long now = EventLoop.now();
    if (submission.finished) {
      return;
    }
    if (now >= submission.deadlineMicros) {
      failSubmission(submission);
      return;
    }
    if (!submission.mayBeStored && now >= submission.rejectAtMicros) {
      reject(submission, "the partition has no primary now");
      return;
    }
    String primary = partitions.primaryAddress(submission.request.group());
    if (primary == null) {
      eventLoop.after(RETRY_MICROS, () -> send(submission));
      return;
    }
    submission.awaitingReply = true;
    agent.requestNodeOnce(
        primary,
        submission.request.toWireRecord(),
        Math.min(REPLY_TIMEOUT_MICROS, submission.deadlineMicros - now),
        reply -> replied(submission, decoded(reply, primary)));
  }

  private static MessageStoreReply decoded(WireRecord encoded, String from) {
    try {
      return encoded == null ? null : MessageStoreReply.of(encoded);
    } catch (ProtocolException e) {
      LOG.warn("event=malformed_message from={} cause=\"{}\"", from, e.getMessage());
      return null;
    }
  }

  private void replied(MessageSubmission submission, MessageStoreReply reply) {
    submission.awaitingReply = false;
    if (submission.finished) {
      return;
    }
    if (reply instanceof MessageStoreReply.Accepted accepted) {
      submission.quotaTokenReserved = false;
      metrics.responses.increment();
      finish(submission, acceptedResponse(accepted.id()));
      return;
    }
    // A time-out proves nothing; a rejection says that this request has left nothing behind.
    submission.mayBeStored |= reply == null;
    if (submission.exchange.clientGone() && !submission.mayBeStored) {
      reject(submission, "the client has left");
    } else if (reply instanceof MessageStoreReply.Rejected rejected
        && rejected.reason().equals(MessageStoreReply.Rejected.FULL)
        && !submission.mayBeStored) {
      reject(submission, "the partition accepts no more messages now");
    } else if (EventLoop.now() + RETRY_MICROS >= submission.deadlineMicros) {
      failSubmission(submission);
    } else {
      eventLoop.after(RETRY_MICROS, () -> send(submission));
    }
  }

  private static HttpMessage acceptedResponse(String id) {
    return HttpMessage.response(202)
        .header(MESSAGE_ID, id)
        .header("Content-Type", "application/json")
        .body("{}".getBytes(StandardCharsets.UTF_8));
  }

  private void failSubmission(MessageSubmission submission) {
    if (submission.mayBeStored) {
      metrics.timeouts.increment();
      finish(
          submission, GatewayResponses.problem(502, "whether the message was stored is not known"));
    } else {
      reject(submission, "the message could not be stored in time");
    }
  }

  private void reject(MessageSubmission submission, String cause) {
    metrics.rejected.increment();
    double retryAfterSeconds =
        MIN_RETRY_AFTER_SECONDS + RETRY_AFTER_SPREAD_SECONDS * random.nextDouble();
    finish(submission, GatewayResponses.unavailable(cause, retryAfterSeconds));
  }

  private void finish(MessageSubmission submission, HttpMessage response) {
    if (!submission.finished) {
      end(submission);
      submission.exchange.answer(response);
    }
  }

  private void end(MessageSubmission submission) {
    submission.finished = true;
    inFlight.remove(submission);
    if (submission.quotaTokenReserved) {
      quota.giveBack(submission.tenant);
    }
  }

  /** Answers all clients that still wait, as the node ends. */
  void endAll() {
    for (MessageSubmission submission : new ArrayList<>(inFlight)) {
      submission.mayBeStored |= submission.awaitingReply;
      failSubmission(submission);
    }
  }
}
