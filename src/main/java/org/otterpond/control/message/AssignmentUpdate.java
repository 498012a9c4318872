package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The part of a poll response that brings a node's assignments up to date: either all of them or
 * those that are newer than the node's.
 *
 * @param number number of the newest committed assignment
 * @param complete the compressed snapshot of all assignments, or null if the update consists of the
 *     newer ones
 * @param newer the newer assignments in their order, encoded by the module that owns each; empty if
 *     the update is the snapshot
 */
public record AssignmentUpdate(long number, CompressedBytes complete, List<WireRecord> newer) {
  private static final String NUMBER = "asno";
  private static final String COMPLETE = "aswhole";
  private static final String NEWER = "as";
  private static final String SNAPSHOT_ENTRIES = "entries";

  /** Creates an update; the list is copied. */
  public AssignmentUpdate {
    newer = List.copyOf(newer);
  }

  /** Returns an update that consists of a snapshot of all assignments. */
  public static AssignmentUpdate complete(long number, CompressedBytes snapshot) {
    return new AssignmentUpdate(number, snapshot, List.of());
  }

  /** Returns an update that consists of the newer assignments. */
  public static AssignmentUpdate incremental(long number, List<WireRecord> newer) {
    return new AssignmentUpdate(number, null, newer);
  }

  static boolean isIn(WireRecord response) {
    return response.has(NUMBER);
  }

  static AssignmentUpdate of(WireRecord response) throws ProtocolException {
    long number = response.requiredNumber(NUMBER);
    return response.has(COMPLETE)
        ? complete(number, CompressedBytes.of(response.requiredBytes(COMPLETE)))
        : incremental(number, MessageFields.nestedList(response, NEWER));
  }

  /**
   * Returns the assignments of the update in their order.
   *
   * @throws ProtocolException if the snapshot cannot be read
   */
  public List<WireRecord> entries() throws ProtocolException {
    return complete == null ? newer : MessageFields.nestedList(complete.record(), SNAPSHOT_ENTRIES);
  }

  void addTo(WireRecord response) {
    response.with(NUMBER, number);
    if (complete != null) {
      response.with(COMPLETE, complete.bytes());
    } else {
      response.withRecords(NEWER, newer);
    }
  }
}
