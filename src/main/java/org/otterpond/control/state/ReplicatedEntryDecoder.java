package org.otterpond.control.state;

import java.util.Map;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Reads entries of the replicated log from their encoded form. */
public final class ReplicatedEntryDecoder {
  private static final Map<String, Decoder> DECODERS =
      Map.of(
          KeyLockEntry.KIND, KeyLockEntry::of,
          KeyReleaseEntry.KIND, KeyReleaseEntry::of,
          ConfigurationEntry.KIND, ConfigurationEntry::of,
          WorkerEntry.KIND, WorkerEntry::of,
          AssignmentEntry.KIND, AssignmentEntry::of);

  private ReplicatedEntryDecoder() {}

  @FunctionalInterface
  private interface Decoder {
    ReplicatedEntry decode(WireRecord encoded) throws ProtocolException;
  }

  /** Returns whether records of this kind are entries of the replicated log. */
  public static boolean isEntry(String kind) {
    return DECODERS.containsKey(kind);
  }

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if the record is of no kind of entry, or lacks a required field
   */
  public static ReplicatedEntry decode(WireRecord encoded) throws ProtocolException {
    Decoder decoder = DECODERS.get(encoded.kind());
    if (decoder == null) {
      throw new ProtocolException("kind " + encoded.kind() + " is no replicated entry");
    }
    return decoder.decode(encoded);
  }
}
