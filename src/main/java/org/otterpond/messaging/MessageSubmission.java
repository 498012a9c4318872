package org.otterpond.messaging;

import org.otterpond.messaging.message.PutMessageRequest;
import org.otterpond.net.ServerExchange;

/** One message on its way to the primary of its partition. */
final class MessageSubmission {
  private static final long RESPONSE_MARGIN_MICROS = 15_000;

  /** Part of the client's time after which a message that no primary has got is rejected. */
  private static final double REJECT_FRACTION = 0.45;

  final ServerExchange exchange;
  final PutMessageRequest request;

  /** The tenant that submitted it, or null. */
  final String tenant;

  final long rejectAtMicros;
  final long deadlineMicros;
  boolean quotaTokenReserved;

  /** Whether a primary may have accepted it although it never said so. */
  boolean mayBeStored;

  boolean awaitingReply;
  boolean finished;

  MessageSubmission(
      ServerExchange exchange, PutMessageRequest request, String tenant, long timeLeftMicros) {
    this.exchange = exchange;
    this.request = request;
    this.tenant = tenant;
    this.deadlineMicros = exchange.receivedAtMicros() + timeLeftMicros - RESPONSE_MARGIN_MICROS;
    this.rejectAtMicros = exchange.receivedAtMicros() + (long) (timeLeftMicros * REJECT_FRACTION);
  }
}
