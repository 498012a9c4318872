package org.otterpond.replication;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Pieces of the state for a candidate.
 *
 * @param transfer number of the transfer
 * @param number sequence number of this message in the transfer, from 0
 * @param last whether the state is complete with these pieces
 */
public record CopyPiecesMessage(
    int group, long transfer, long number, boolean last, List<WireRecord> pieces)
    implements GroupMessage {
  /** The encoded kind. */
  public static final String KIND = "g.pieces";

  private static final String GROUP = "group";
  private static final String TRANSFER = "transfer";
  private static final String NUMBER = "number";
  private static final String LAST = "whole";
  private static final String PIECES = "pieces";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static CopyPiecesMessage of(WireRecord encoded) throws ProtocolException {
    return new CopyPiecesMessage(
        (int) encoded.requiredNumber(GROUP),
        encoded.requiredNumber(TRANSFER),
        encoded.requiredNumber(NUMBER),
        encoded.truth(LAST),
        encoded.records(PIECES));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(GROUP, group)
        .with(TRANSFER, transfer)
        .with(NUMBER, number)
        .with(LAST, last ? true : null)
        .withRecords(PIECES, pieces);
  }
}
