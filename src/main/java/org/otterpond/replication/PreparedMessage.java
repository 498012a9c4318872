package org.otterpond.replication;

import java.util.OptionalLong;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Acknowledges that all entries up to a serial number are durable on a secondary or a candidate.
 *
 * @param version version of the configuration under which the entries were prepared
 * @param member the acknowledging member
 * @param durableSerial serial number of the last durable entry
 * @param transfer number of the state transfer, if the member is a candidate
 * @param copyDurable whether the candidate has the transferred state durably
 */
public record PreparedMessage(
    int group,
    long version,
    String member,
    long durableSerial,
    OptionalLong transfer,
    boolean copyDurable)
    implements GroupMessage {
  /** The encoded kind. */
  public static final String KIND = "g.prepared";

  private static final String GROUP = "group";
  private static final String VERSION = "version";
  private static final String MEMBER = "member";
  private static final String SERIAL = "serial";
  private static final String TRANSFER = "transfer";
  private static final String COPIED = "copied";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static PreparedMessage of(WireRecord encoded) throws ProtocolException {
    return new PreparedMessage(
        (int) encoded.requiredNumber(GROUP),
        encoded.requiredNumber(VERSION),
        encoded.requiredText(MEMBER),
        encoded.requiredNumber(SERIAL),
        encoded.has(TRANSFER)
            ? OptionalLong.of(encoded.requiredNumber(TRANSFER))
            : OptionalLong.empty(),
        encoded.truth(COPIED));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(GROUP, group)
        .with(VERSION, version)
        .with(MEMBER, member)
        .with(SERIAL, durableSerial)
        .with(TRANSFER, transfer.isPresent() ? transfer.getAsLong() : null)
        .with(COPIED, copyDurable ? true : null);
  }
}
