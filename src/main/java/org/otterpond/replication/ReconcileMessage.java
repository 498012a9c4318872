package org.otterpond.replication;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A new primary's uncommitted entries: the recipient truncates its prepared list to them (PacificA,
 * section "Reconfiguration, Reconciliation, and Recovery").
 *
 * @param configuration the configuration under which the primary begins
 * @param committedPoint the primary's committed point, before the first entry
 */
public record ReconcileMessage(
    int group, GroupConfiguration configuration, long committedPoint, List<WireRecord> entries)
    implements GroupMessage {
  /** The encoded kind. */
  public static final String KIND = "g.reconcile";

  private static final String GROUP = "group";
  private static final String CONFIGURATION = "view";
  private static final String POINT = "point";
  private static final String ENTRIES = "entries";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static ReconcileMessage of(WireRecord encoded) throws ProtocolException {
    return new ReconcileMessage(
        (int) encoded.requiredNumber(GROUP),
        GroupConfiguration.read(encoded.requiredNested(CONFIGURATION)),
        encoded.requiredNumber(POINT),
        encoded.records(ENTRIES));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(GROUP, group)
        .with(CONFIGURATION, configuration.toNestedRecord())
        .with(POINT, committedPoint)
        .withRecords(ENTRIES, entries);
  }
}
