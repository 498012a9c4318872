package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A message as it was submitted.
 *
 * @param keys its names
 * @param destination where it goes
 * @param content what is sent to the worker
 * @param delayMicros how long after its acceptance it may be delivered first
 * @param retentionMicros how long it is kept if it cannot be delivered
 */
public record AcceptedMessage(
    MessageKeys keys,
    MessageDestination destination,
    MessageContent content,
    long delayMicros,
    long retentionMicros)
    implements MessageEntry {
  /** The encoded kind. */
  public static final String KIND = "put";

  private static final String DELAY = "delay";
  private static final String RETENTION = "keep";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static AcceptedMessage of(WireRecord encoded) throws ProtocolException {
    return new AcceptedMessage(
        MessageKeys.of(encoded),
        MessageDestination.of(encoded),
        MessageContent.of(encoded),
        encoded.number(DELAY),
        encoded.requiredNumber(RETENTION));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded = new WireRecord(KIND);
    keys.addTo(encoded);
    return encoded
        .with(MessageDestination.HOST, destination.host())
        .with(MessageContent.METHOD, content.method())
        .with(MessageDestination.TARGET, destination.target())
        .with(MessageContent.HEADERS, content.headers())
        .with(MessageContent.BODY, content.body())
        .with(DELAY, delayMicros > 0 ? delayMicros : null)
        .with(RETENTION, retentionMicros)
        .with(MessageDestination.REVISION, destination.revision());
  }
}
