package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The committed owners of message partitions and key ranges, and the machines that are being
 * drained. Each change gets the next number; it is the same on every replica, as all apply the same
 * entries in the same order.
 *
 * <p>Confined to the owner thread. Records that methods return must not be changed.
 */
public final class Assignments {
  /** The encoded kind of an entry. */
  public static final String KIND = AssignmentEntry.KIND;

  /** In the order of their newest changes, so that the changes after a number are at the end. */
  private final Map<String, AssignmentEntry> entries = new LinkedHashMap<>();

  private long number;

  /** Returns the number of the newest change; 0 if there was none. */
  public long number() {
    return number;
  }

  /** Returns the assignment of a key, also a released one, or null. */
  public WireRecord get(String key) {
    AssignmentEntry entry = entries.get(key);
    return entry == null ? null : entry.content();
  }

  /** Returns all assignments by key, released ones included, in the order of their changes. */
  public Map<String, WireRecord> all() {
    Map<String, WireRecord> records = new LinkedHashMap<>();
    entries.forEach((key, entry) -> records.put(key, entry.content()));
    return records;
  }

  /** Returns the assignments in force whose keys start with the prefix. */
  public List<WireRecord> withPrefix(String prefix) {
    List<WireRecord> found = new ArrayList<>();
    for (AssignmentEntry entry : entries.values()) {
      if (entry.key().startsWith(prefix) && !entry.released()) {
        found.add(entry.content());
      }
    }
    return found;
  }

  /**
   * Applies an encoded entry.
   *
   * @return the entry with the number of its change
   * @throws IllegalArgumentException if the entry has no key
   */
  public WireRecord apply(WireRecord encoded) {
    try {
      return apply(AssignmentEntry.of(encoded)).content();
    } catch (ProtocolException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /**
   * Applies an entry.
   *
   * @return the entry with the number of its change
   */
  public AssignmentEntry apply(AssignmentEntry entry) {
    number++;
    AssignmentEntry numbered = entry.numbered(number);
    entries.remove(entry.key());
    entries.put(entry.key(), numbered);
    return numbered;
  }

  /** Returns the assignments whose newest change came after the change with the given number. */
  public List<WireRecord> newerThan(long known) {
    List<WireRecord> newer = new ArrayList<>();
    for (AssignmentEntry entry : entries.values()) {
      if (entry.number() > known) {
        newer.add(entry.content());
      }
    }
    return newer;
  }

  /** Returns the encoded snapshot of all assignments. */
  public WireRecord snapshot() {
    return typedSnapshot().toWireRecord();
  }

  AssignmentsSnapshot typedSnapshot() {
    return new AssignmentsSnapshot(number, List.copyOf(entries.values()));
  }

  void load(AssignmentsSnapshot snapshot) {
    entries.clear();
    number = snapshot.number();
    snapshot.entries().forEach(entry -> entries.put(entry.key(), entry));
  }

  /** Returns an independent copy. */
  public Assignments copy() {
    Assignments copy = new Assignments();
    copy.load(typedSnapshot());
    return copy;
  }
}
