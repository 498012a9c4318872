package org.otterpond.messaging.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A message with its state, as it goes to another replica or into a newer segment.
 *
 * @param keys its names
 * @param destination where it goes
 * @param progress how far it has come
 * @param content what is sent to the worker, or null if that is not needed any more
 */
public record MessageSnapshot(
    MessageKeys keys,
    MessageDestination destination,
    MessageProgress progress,
    MessageContent content)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "message";

  /**
   * Reads a snapshot.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static MessageSnapshot of(WireRecord encoded) throws ProtocolException {
    return new MessageSnapshot(
        MessageKeys.of(encoded),
        MessageDestination.of(encoded),
        MessageProgress.of(encoded),
        encoded.has(MessageContent.BODY) ? MessageContent.of(encoded) : null);
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded = new WireRecord(KIND);
    keys.addTo(encoded);
    destination.addTo(encoded);
    progress.addTo(encoded);
    if (content != null) {
      content.addTo(encoded);
    }
    return encoded;
  }
}
