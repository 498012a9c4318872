package org.otterpond.storage;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The first record of a file of the write-ahead log.
 *
 * @param recordCount how many records after this one stand for everything that was logged before
 *     the file was begun; a file with fewer is not complete
 * @param diskId the identity of the disk
 */
public record LogBase(long recordCount, String diskId) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "base";

  private static final String RECORD_COUNT = "count";
  private static final String DISK_ID = "disk";

  /**
   * Reads a base record.
   *
   * @throws ProtocolException if it is of another kind or a field is missing
   */
  public static LogBase of(WireRecord encoded) throws ProtocolException {
    if (!encoded.kind().equals(KIND)) {
      throw new ProtocolException("kind " + encoded.kind() + " in place of " + KIND);
    }
    return new LogBase(encoded.requiredNumber(RECORD_COUNT), encoded.requiredText(DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(RECORD_COUNT, recordCount).with(DISK_ID, diskId);
  }
}
