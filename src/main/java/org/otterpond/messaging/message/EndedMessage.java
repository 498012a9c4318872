package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A message has been completed or is dead.
 *
 * @param keys its names; the ordering key is left out
 * @param state the final state
 * @param serverSeal the seal of the worker that executed it, or null
 * @param destination where it was to go
 */
public record EndedMessage(
    MessageKeys keys, MessageState state, String serverSeal, MessageDestination destination)
    implements MessageEntry {
  /** The encoded kind. */
  public static final String KIND = "end";

  private static final String STATE = "state";
  private static final String SERVER_SEAL = "seal";

  /** Creates an entry; the ordering key is dropped. */
  public EndedMessage {
    keys = new MessageKeys(keys.id(), keys.tenant(), null, keys.operationKey());
  }

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if a required field is missing or the state is not known
   */
  public static EndedMessage of(WireRecord encoded) throws ProtocolException {
    return new EndedMessage(
        MessageKeys.of(encoded),
        MessageState.of(encoded, STATE),
        encoded.text(SERVER_SEAL),
        MessageDestination.of(encoded));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded = new WireRecord(KIND);
    keys.addIdTo(encoded);
    encoded.with(STATE, state.name()).with(SERVER_SEAL, serverSeal);
    keys.addScopeTo(encoded);
    destination.addTo(encoded);
    return encoded;
  }
}
