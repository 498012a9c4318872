package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * How far a message has come, with times as what is left or has passed of them.
 *
 * @param serial the serial number of its acceptance in the partition
 * @param delayMicros how long until it may be delivered
 * @param retentionMicros how long it is still kept if it cannot be delivered
 * @param state what has become of it
 * @param attempts the number of failed attempts
 * @param serverSeal the seal of the worker that executed it, or null
 * @param endedForMicros how long ago it ended; 0 while it is queued
 */
public record MessageProgress(
    long serial,
    long delayMicros,
    long retentionMicros,
    MessageState state,
    int attempts,
    String serverSeal,
    long endedForMicros) {
  private static final String SERIAL = "turn";
  private static final String DELAY = "delay";
  private static final String RETENTION = "keep";
  private static final String STATE = "state";
  private static final String ATTEMPTS = "attempts";
  private static final String SERVER_SEAL = "seal";
  private static final String ENDED_FOR = "ended";

  static MessageProgress of(WireRecord encoded) throws ProtocolException {
    return new MessageProgress(
        encoded.requiredNumber(SERIAL),
        encoded.requiredNumber(DELAY),
        encoded.requiredNumber(RETENTION),
        MessageState.of(encoded, STATE),
        (int) encoded.requiredNumber(ATTEMPTS),
        encoded.text(SERVER_SEAL),
        encoded.number(ENDED_FOR));
  }

  void addTo(WireRecord encoded) {
    encoded
        .with(SERIAL, serial)
        .with(DELAY, delayMicros)
        .with(RETENTION, retentionMicros)
        .with(STATE, state.name())
        .with(ATTEMPTS, attempts)
        .with(SERVER_SEAL, serverSeal)
        .with(ENDED_FOR, state == MessageState.QUEUED ? null : endedForMicros);
  }
}
