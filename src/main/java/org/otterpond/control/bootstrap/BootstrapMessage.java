package org.otterpond.control.bootstrap;

import java.util.Map;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** A message of the single-decree Paxos between the seed nodes. */
public sealed interface BootstrapMessage extends Encodable {
  /** Field of the proposal number, in all messages. */
  String PROPOSAL_NUMBER = "ballot";

  /** Field of a proposed or accepted value. */
  String VALUE = "value";

  /** Field of the proposal number under which a value was accepted. */
  String ACCEPTED_NUMBER = "at";

  /** The number of the proposal that the message belongs to. */
  long proposalNumber();

  /**
   * Phase 1a: asks an acceptor for a promise not to accept proposals with lower numbers.
   *
   * @param proposalNumber the number of the proposal
   */
  record Prepare(long proposalNumber) implements BootstrapMessage {
    /** The encoded kind. */
    public static final String KIND = "fprep";

    private static Prepare of(WireRecord encoded) throws ProtocolException {
      return new Prepare(encoded.requiredNumber(PROPOSAL_NUMBER));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(PROPOSAL_NUMBER, proposalNumber);
    }
  }

  /**
   * Phase 1b: an acceptor promises, and reports the proposal that it accepted last.
   *
   * @param proposalNumber the number that was promised
   * @param acceptedNumber the number of the accepted proposal; 0 if there is none
   * @param acceptedValue the value of the accepted proposal; null if there is none
   */
  record Promise(long proposalNumber, long acceptedNumber, EpochRecord acceptedValue)
      implements BootstrapMessage {
    /** The encoded kind. */
    public static final String KIND = "fprom";

    private static Promise of(WireRecord encoded) throws ProtocolException {
      return new Promise(
          encoded.requiredNumber(PROPOSAL_NUMBER),
          encoded.requiredNumber(ACCEPTED_NUMBER),
          encoded.has(VALUE) ? EpochRecord.decode(encoded.requiredNested(VALUE)) : null);
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND)
          .with(PROPOSAL_NUMBER, proposalNumber)
          .with(ACCEPTED_NUMBER, acceptedNumber)
          .with(VALUE, acceptedValue == null ? null : acceptedValue.toWireRecord());
    }
  }

  /**
   * Phase 2a: asks an acceptor to accept a value.
   *
   * @param proposalNumber the number of the proposal
   * @param value the proposed record of the first epoch
   */
  record Accept(long proposalNumber, EpochRecord value) implements BootstrapMessage {
    /** The encoded kind. */
    public static final String KIND = "facc";

    private static Accept of(WireRecord encoded) throws ProtocolException {
      return new Accept(
          encoded.requiredNumber(PROPOSAL_NUMBER),
          EpochRecord.decode(encoded.requiredNested(VALUE)));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND)
          .with(PROPOSAL_NUMBER, proposalNumber)
          .with(VALUE, value.toWireRecord());
    }
  }

  /**
   * Phase 2b: an acceptor has accepted the proposal.
   *
   * @param proposalNumber the number of the proposal
   */
  record Accepted(long proposalNumber) implements BootstrapMessage {
    /** The encoded kind. */
    public static final String KIND = "faccd";

    private static Accepted of(WireRecord encoded) throws ProtocolException {
      return new Accepted(encoded.requiredNumber(PROPOSAL_NUMBER));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(PROPOSAL_NUMBER, proposalNumber);
    }
  }

  /** Reads one kind of message. */
  @FunctionalInterface
  interface Decoder {
    /** Reads the message. */
    BootstrapMessage decode(WireRecord encoded) throws ProtocolException;
  }

  /** The decoders by encoded kind. */
  Map<String, Decoder> DECODERS =
      Map.of(
          Prepare.KIND, Prepare::of,
          Promise.KIND, Promise::of,
          Accept.KIND, Accept::of,
          Accepted.KIND, Accepted::of);

  /** Returns whether records of this kind are messages of the bootstrap. */
  static boolean isKind(String kind) {
    return DECODERS.containsKey(kind);
  }

  /**
   * Reads a message.
   *
   * @throws ProtocolException if the kind is none of the bootstrap, or a required field is missing
   */
  static BootstrapMessage of(WireRecord encoded) throws ProtocolException {
    Decoder decoder = DECODERS.get(encoded.kind());
    if (decoder == null) {
      throw new ProtocolException("kind " + encoded.kind() + " is no bootstrap message");
    }
    return decoder.decode(encoded);
  }
}
