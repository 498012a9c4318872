package org.otterpond.control.epoch.message;

import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The log record of a snapshot that replaces the whole replicated state, packed as it was received.
 */
public final class SnapshotRecord implements EpochLogRecord {
  /** The encoded kind. A base record of the log has it too, with the fields of the state. */
  public static final String KIND = "state";

  private static final String PACKED_STATE = "bale";

  private final byte[] packedState;

  /**
   * Creates a record.
   *
   * @param packedState the packed state, which the caller no longer changes
   */
  public SnapshotRecord(byte[] packedState) {
    this.packedState = packedState;
  }

  /**
   * Returns the state in a log record of this kind, which holds it packed or as it is.
   *
   * @throws ProtocolException if the packed state cannot be read
   */
  public static WireRecord stateOf(WireRecord encoded) throws ProtocolException {
    return encoded.has(PACKED_STATE)
        ? CompressedPayload.decompress(encoded.requiredBytes(PACKED_STATE))
        : encoded;
  }

  /**
   * Reads a record that holds the state packed.
   *
   * @throws ProtocolException if the packed state is missing
   */
  public static SnapshotRecord of(WireRecord encoded) throws ProtocolException {
    return new SnapshotRecord(encoded.requiredBytes(PACKED_STATE));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(PACKED_STATE, packedState);
  }
}
