package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * One beacon from a machine to another for all groups that the sender leads with a secondary there
 * (PacificA, section "Leases and Failure Detection").
 *
 * @param recipient the secondary, a member name
 * @param sentAtMicros the sender's time of sending, returned in the acknowledgement
 * @param listNumber number of the list of groups
 * @param processId identity of the sender's process, so that numbers of two processes differ
 * @param groupList the list of groups, or null if the recipient has acknowledged it before
 * @param points committed points that have moved since the last beacon
 */
public record BeaconMessage(
    String recipient,
    long sentAtMicros,
    long listNumber,
    long processId,
    GroupList groupList,
    List<GroupNumber> points)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "g.beacon";

  private static final String RECIPIENT = "to";
  private static final String SENT_AT = "at";
  private static final String NUMBER = "n";
  private static final String PROCESS = "life";
  private static final String PRIMARY = "from";
  private static final String GROUPS = "groups";
  private static final String POINTS = "points";

  /**
   * The groups that a primary leads with a secondary on one machine.
   *
   * @param primary member name of the sender
   * @param versions the version of each group's configuration
   */
  public record GroupList(String primary, List<GroupNumber> versions) {}

  /** A group with its version or its committed point. */
  public record GroupNumber(int group, long number) {}

  /**
   * Reads a beacon.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static BeaconMessage of(WireRecord encoded) throws ProtocolException {
    GroupList list =
        encoded.has(GROUPS)
            ? new GroupList(encoded.requiredText(PRIMARY), numbers(encoded.list(GROUPS)))
            : null;
    return new BeaconMessage(
        encoded.requiredText(RECIPIENT),
        encoded.requiredNumber(SENT_AT),
        encoded.requiredNumber(NUMBER),
        encoded.requiredNumber(PROCESS),
        list,
        numbers(encoded.list(POINTS)));
  }

  private static List<GroupNumber> numbers(List<Object> flat) {
    List<GroupNumber> pairs = new ArrayList<>();
    for (int i = 0; i + 1 < flat.size(); i += 2) {
      int group = ((Number) flat.get(i)).intValue();
      pairs.add(new GroupNumber(group, ((Number) flat.get(i + 1)).longValue()));
    }
    return pairs;
  }

  private static List<Object> flat(List<GroupNumber> pairs) {
    List<Object> flat = new ArrayList<>();
    for (GroupNumber pair : pairs) {
      flat.add((long) pair.group());
      flat.add(pair.number());
    }
    return flat;
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded =
        new WireRecord(KIND)
            .with(RECIPIENT, recipient)
            .with(SENT_AT, sentAtMicros)
            .with(NUMBER, listNumber)
            .with(PROCESS, processId);
    if (groupList != null) {
      encoded.with(PRIMARY, groupList.primary()).with(GROUPS, flat(groupList.versions()));
    }
    return points.isEmpty() ? encoded : encoded.with(POINTS, flat(points));
  }
}
