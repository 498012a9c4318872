package org.otterpond.messaging.message;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Acknowledges a {@link GroupBeacon}.
 *
 * @param beaconSentAtMicros when the beacon was sent, by its sender's clock
 * @param number the number of the beacon
 * @param member the member that acknowledges
 * @param versionsUnknown whether the groups of this number have not arrived here
 * @param rejectedGroups the groups for which the beacon is not acknowledged
 */
public record GroupBeaconReply(
    long beaconSentAtMicros,
    long number,
    String member,
    boolean versionsUnknown,
    List<Integer> rejectedGroups)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "g.beaconed";

  private static final String SENT_AT = "at";
  private static final String NUMBER = "n";
  private static final String MEMBER = "member";
  private static final String VERSIONS_UNKNOWN = "unknown";
  private static final String REJECTED_GROUPS = "refused";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a group is no number
   */
  public static GroupBeaconReply of(WireRecord encoded) throws ProtocolException {
    List<Integer> rejected = new ArrayList<>();
    for (Object group : encoded.list(REJECTED_GROUPS)) {
      if (!(group instanceof Number number)) {
        throw new ProtocolException("kind " + KIND + ": " + REJECTED_GROUPS + " holds no number");
      }
      rejected.add(number.intValue());
    }
    return new GroupBeaconReply(
        encoded.requiredNumber(SENT_AT),
        encoded.requiredNumber(NUMBER),
        encoded.requiredText(MEMBER),
        encoded.truth(VERSIONS_UNKNOWN),
        rejected);
  }

  @Override
  public WireRecord toWireRecord() {
    List<Object> rejected = new ArrayList<>();
    rejectedGroups.forEach(group -> rejected.add((long) group));
    return new WireRecord(KIND)
        .with(SENT_AT, beaconSentAtMicros)
        .with(NUMBER, number)
        .with(MEMBER, member)
        .with(VERSIONS_UNKNOWN, versionsUnknown ? true : null)
        .with(REJECTED_GROUPS, rejected.isEmpty() ? null : rejected);
  }
}
