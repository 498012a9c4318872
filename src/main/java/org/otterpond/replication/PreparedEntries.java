package org.otterpond.replication;

import java.util.List;
import org.otterpond.protocol.WireRecord;

/** Inserts the entries of a prepare message in the order of their serial numbers. */
final class PreparedEntries {
  private PreparedEntries() {}

  /**
   * Inserts the entries that follow the prepared list without a gap, and moves the committed point.
   *
   * @param acknowledge run once the last new entry is durable, or at once if none is new
   */
  static void insert(LocalReplica replica, PrepareMessage message, Runnable acknowledge) {
    PreparedList preparedList = replica.preparedList();
    long firstSerial = message.firstSerial();
    if (firstSerial > preparedList.lastSerial() + 1) {
      return;
    }
    List<WireRecord> entries = message.entries();
    long known = preparedList.lastSerial() + 1 - firstSerial;
    if (known >= entries.size()) {
      acknowledge.run();
    }
    for (int i = (int) Math.min(known, entries.size()); i < entries.size(); i++) {
      boolean lastEntry = i == entries.size() - 1;
      preparedList.insert(
          entries.get(i),
          message.version(),
          lastEntry ? acknowledge : () -> {},
          replica::onWriteFailed);
    }
    preparedList.commit(message.committedPoint());
  }
}
