package org.otterpond.messaging.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** The reply of a partition's primary. All share one encoded kind and differ by their fields. */
public sealed interface MessageStoreReply extends Encodable {
  /** The encoded kind. */
  String KIND = "reply";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if it is none of the known ones
   */
  static MessageStoreReply of(WireRecord encoded) throws ProtocolException {
    if (encoded.has(Accepted.ID)) {
      return new Accepted(encoded.requiredText(Accepted.ID));
    }
    if (encoded.has(Rejected.REASON)) {
      return new Rejected(encoded.requiredText(Rejected.REASON));
    }
    if (encoded.truth(NoSuchMessage.UNKNOWN)) {
      return new NoSuchMessage();
    }
    if (encoded.has(Body.BODY)) {
      return new Body(encoded.requiredBytes(Body.BODY));
    }
    return new State(MessageState.of(encoded, State.STATE), encoded.text(State.SERVER_SEAL));
  }

  /**
   * All replicas have the message.
   *
   * @param id its id, or that of the first submission of its operation
   */
  record Accepted(String id) implements MessageStoreReply {
    private static final String ID = "taken";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(ID, id);
    }
  }

  /**
   * The request was not served and has left nothing behind.
   *
   * @param reason one of the constants
   */
  record Rejected(String reason) implements MessageStoreReply {
    /** This node does not lead the partition. */
    public static final String NOT_PRIMARY = "elsewhere";

    /** This node leads the partition but may not serve it yet. */
    public static final String NOT_SERVING = "not_serving";

    /** The disk or the queue of the group is full. */
    public static final String FULL = "full";

    /** Another node leads the partition now. */
    public static final String PRIMARY_CHANGED = "moved";

    /** The message cannot be read from the disk. */
    public static final String UNREADABLE = "unreadable";

    private static final String REASON = "no";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(REASON, reason);
    }
  }

  /** There is no such message for this tenant. */
  record NoSuchMessage() implements MessageStoreReply {
    private static final String UNKNOWN = "unknown";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(UNKNOWN, true);
    }
  }

  /**
   * What has become of a message.
   *
   * @param state its state
   * @param serverSeal the seal of the worker that executed it, or null
   */
  record State(MessageState state, String serverSeal) implements MessageStoreReply {
    private static final String STATE = "state";
    private static final String SERVER_SEAL = "seal";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(STATE, state.name()).with(SERVER_SEAL, serverSeal);
    }
  }

  /**
   * The body of a message.
   *
   * @param body its bytes
   */
  // The body is written once and shared, as in HttpMessage; the record is never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Body(byte[] body) implements MessageStoreReply {
    private static final String BODY = "body";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(BODY, body);
    }
  }
}
