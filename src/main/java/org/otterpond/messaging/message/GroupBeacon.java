package org.otterpond.messaging.message;

import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The heartbeat of one machine to another, for all groups that the first leads with a secondary on
 * the second. The groups and versions are left out if the other has acknowledged them; committed
 * points are left out if they have not moved.
 *
 * @param header whom it is for, and its number
 * @param versions the groups, or null if they are those of an earlier beacon of this number
 * @param committedPoints the serial number up to which each group has committed
 */
public record GroupBeacon(
    BeaconHeader header, GroupVersions versions, Map<Integer, Long> committedPoints)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "g.beacon";

  private static final String POINTS = "points";

  /**
   * Reads a beacon.
   *
   * @throws ProtocolException if a required field is missing or malformed
   */
  public static GroupBeacon of(WireRecord encoded) throws ProtocolException {
    return new GroupBeacon(
        BeaconHeader.of(encoded), GroupVersions.of(encoded), NumberPairs.decode(encoded, POINTS));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded = new WireRecord(KIND);
    header.addTo(encoded);
    if (versions != null) {
      versions.addTo(encoded);
    }
    return encoded.with(
        POINTS, committedPoints.isEmpty() ? null : NumberPairs.encode(committedPoints));
  }
}
