package org.otterpond.control.epoch;

import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.ConfigurationEntry;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.WireRecord;

/**
 * The newest configuration that may be shown to others. On a primary the replicated state is ahead
 * of it by what is not committed yet.
 */
final class CommittedConfiguration {
  private static final String REVISION = "rev";

  private long revision;
  private CompressedText text;

  long revision() {
    return revision;
  }

  /** The text, or null if there is no configuration. */
  CompressedText text() {
    return text;
  }

  /** Takes over what the state holds: all of it is committed, or not shown before it is. */
  void update(ReplicatedState state) {
    revision = state.revision();
    text = state.text();
  }

  /** Takes over a committed entry if it is a configuration. */
  void update(WireRecord entry) {
    if (entry.kind().equals(ConfigurationEntry.KIND)) {
      revision = entry.number(REVISION);
      text = CompressedText.of(entry);
    }
  }
}
