package org.otterpond.control.state;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Assigns a message partition, a key range or a machine to its owner, or ends such an assignment.
 *
 * @param key names what is assigned: a prefix for its sort, a colon and an identity
 * @param released whether the assignment has ended
 * @param content all fields, those of the owning module (partition layout, key range) included;
 *     must not be changed
 */
public record AssignmentEntry(String key, boolean released, WireRecord content)
    implements ReplicatedEntry {
  /** The encoded kind. */
  public static final String KIND = "assign";

  private static final String KEY = "key";
  private static final String RELEASED = "gone";
  private static final String NUMBER = "no";

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if the key is missing
   */
  public static AssignmentEntry of(WireRecord encoded) throws ProtocolException {
    return new AssignmentEntry(encoded.requiredText(KEY), encoded.truth(RELEASED), encoded);
  }

  /** Returns the number of the change that wrote this assignment; 0 before it was applied. */
  public long number() {
    return content.number(NUMBER);
  }

  /** Returns a copy of this entry with the number of its change. */
  AssignmentEntry numbered(long number) {
    return new AssignmentEntry(key, released, toWireRecord().with(NUMBER, number));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord copy = new WireRecord(KIND);
    content.fields().forEach(copy::with);
    return copy;
  }
}
