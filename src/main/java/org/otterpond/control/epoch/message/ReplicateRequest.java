package org.otterpond.control.epoch.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The primary sends a batch of entries to a backup.
 *
 * @param epoch the epoch that the message belongs to
 * @param batchNumber the position of the batch in the epoch, from 1 on
 * @param entries the entries in their order
 */
public record ReplicateRequest(long epoch, long batchNumber, List<WireRecord> entries)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "rep";

  private static final String EPOCH = "epoch";
  private static final String BATCH_NUMBER = "seq";
  private static final String ENTRIES = "entries";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static ReplicateRequest of(WireRecord encoded) throws ProtocolException {
    return new ReplicateRequest(
        encoded.requiredNumber(EPOCH),
        encoded.requiredNumber(BATCH_NUMBER),
        encoded.records(ENTRIES));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(BATCH_NUMBER, batchNumber)
        .withRecords(ENTRIES, entries);
  }
}
