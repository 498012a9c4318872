package org.otterpond.replication;

import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Answers a {@link BeaconMessage}.
 *
 * @param sentAtMicros time of sending, as the beacon gave it
 * @param listNumber number of the list of groups, as the beacon gave it
 * @param member the answering member
 * @param unknownList whether the member does not have that list of groups
 * @param refusedGroups the groups for which the member does not acknowledge the beacon
 */
public record BeaconAckMessage(
    long sentAtMicros,
    long listNumber,
    String member,
    boolean unknownList,
    List<Integer> refusedGroups)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "g.beaconed";

  private static final String SENT_AT = "at";
  private static final String NUMBER = "n";
  private static final String MEMBER = "member";
  private static final String UNKNOWN = "unknown";
  private static final String REFUSED = "refused";

  /**
   * Reads an acknowledgement.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static BeaconAckMessage of(WireRecord encoded) throws ProtocolException {
    return new BeaconAckMessage(
        encoded.requiredNumber(SENT_AT),
        encoded.requiredNumber(NUMBER),
        encoded.requiredText(MEMBER),
        encoded.truth(UNKNOWN),
        encoded.list(REFUSED).stream().map(group -> ((Number) group).intValue()).toList());
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(SENT_AT, sentAtMicros)
        .with(NUMBER, listNumber)
        .with(MEMBER, member)
        .with(UNKNOWN, unknownList ? true : null)
        .with(REFUSED, refusedGroups.isEmpty() ? null : refusedGroups);
  }
}
