package org.otterpond.messaging.message;

import java.util.Map;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The groups that a machine leads with a secondary on the receiver.
 *
 * @param from the member that leads them
 * @param byGroup the version of each group's configuration
 */
public record GroupVersions(String from, Map<Integer, Long> byGroup) {
  private static final String FROM = "from";
  private static final String GROUPS = "groups";

  /** Returns null if the beacon leaves the groups out. */
  static GroupVersions of(WireRecord encoded) throws ProtocolException {
    return encoded.has(GROUPS)
        ? new GroupVersions(encoded.requiredText(FROM), NumberPairs.decode(encoded, GROUPS))
        : null;
  }

  void addTo(WireRecord encoded) {
    encoded.with(FROM, from).with(GROUPS, NumberPairs.encode(byGroup));
  }
}
