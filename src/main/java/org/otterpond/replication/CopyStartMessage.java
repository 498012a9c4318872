package org.otterpond.replication;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Begins a state transfer: the recipient becomes a candidate of the group (PacificA, section
 * "Reconfiguration, Reconciliation, and Recovery").
 *
 * @param configuration the primary's configuration
 * @param source the member that sends the state
 * @param transfer number of the transfer, unique for the source while its process runs
 * @param committedPoint committed point after which live entries are sent
 */
public record CopyStartMessage(
    int group, GroupConfiguration configuration, String source, long transfer, long committedPoint)
    implements GroupMessage {
  /** The encoded kind. */
  public static final String KIND = "g.copy";

  private static final String GROUP = "group";
  private static final String CONFIGURATION = "view";
  private static final String SOURCE = "from";
  private static final String TRANSFER = "transfer";
  private static final String POINT = "point";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static CopyStartMessage of(WireRecord encoded) throws ProtocolException {
    return new CopyStartMessage(
        (int) encoded.requiredNumber(GROUP),
        GroupConfiguration.read(encoded.requiredNested(CONFIGURATION)),
        encoded.requiredText(SOURCE),
        encoded.requiredNumber(TRANSFER),
        encoded.requiredNumber(POINT));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(GROUP, group)
        .with(CONFIGURATION, configuration.toNestedRecord())
        .with(SOURCE, source)
        .with(TRANSFER, transfer)
        .with(POINT, committedPoint);
  }
}
