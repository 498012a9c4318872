package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The content of {@link Assignments} at one moment.
 *
 * @param number the number of the last change
 * @param entries the assignments in the order of their changes
 */
public record AssignmentsSnapshot(long number, List<AssignmentEntry> entries) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "assignments";

  /** The snapshot before the first change. */
  public static final AssignmentsSnapshot EMPTY = new AssignmentsSnapshot(0, List.of());

  private static final String NUMBER = "number";
  private static final String ENTRIES = "entries";

  /**
   * Reads a snapshot.
   *
   * @throws ProtocolException if a field is missing or an entry has no key
   */
  public static AssignmentsSnapshot of(WireRecord encoded) throws ProtocolException {
    List<AssignmentEntry> entries = new ArrayList<>();
    for (WireRecord entry : encoded.requiredRecords(ENTRIES)) {
      entries.add(AssignmentEntry.of(entry));
    }
    return new AssignmentsSnapshot(encoded.requiredNumber(NUMBER), List.copyOf(entries));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(NUMBER, number)
        .withRecords(ENTRIES, entries.stream().map(AssignmentEntry::content).toList());
  }
}
