package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** Reads and encodes configurations of replica groups inside other messages. */
final class GroupConfigurations {
  private static final String KIND = "view";
  private static final List<String> TEXT_LISTS = List.of("secondaries", "wanted");

  private GroupConfigurations() {}

  static GroupConfiguration of(WireRecord encoded) throws ProtocolException {
    encoded.requiredNumber("group");
    encoded.requiredNumber("version");
    encoded.requiredText("primary");
    for (String field : TEXT_LISTS) {
      MessageFields.textList(encoded, field);
    }
    return GroupConfiguration.of(encoded);
  }

  static WireRecord encode(GroupConfiguration configuration) {
    return configuration.toWireRecord(KIND);
  }
}
