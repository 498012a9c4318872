package org.otterpond.control.message;

import java.util.Set;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * One node in a {@link StatusReply}.
 *
 * @param name its name
 * @param address its address
 * @param zone its zone
 * @param configurationRevision revision of its configuration at its last poll
 * @param silentMillis milliseconds since its last poll
 * @param messageStoreFigures figures of its message store, encoded by the messaging module as
 *     further fields of the row; null if it has none
 */
public record NodeStatus(
    String name,
    String address,
    String zone,
    long configurationRevision,
    long silentMillis,
    WireRecord messageStoreFigures)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "node";

  private static final String NAME = "name";
  private static final String ADDRESS = "addr";
  private static final String ZONE = "zone";
  private static final String CONFIGURATION_REVISION = "cfg";
  private static final String SILENT_MILLIS = "silent_ms";
  private static final Set<String> OWN_FIELDS =
      Set.of(NAME, ADDRESS, ZONE, CONFIGURATION_REVISION, SILENT_MILLIS);
  private static final String FIGURES_KIND = "figures";

  /**
   * Reads a row.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static NodeStatus of(WireRecord encoded) throws ProtocolException {
    WireRecord figures = new WireRecord(FIGURES_KIND);
    encoded
        .fields()
        .forEach(
            (field, value) -> {
              if (!OWN_FIELDS.contains(field)) {
                figures.with(field, value);
              }
            });
    return new NodeStatus(
        encoded.requiredText(NAME),
        encoded.requiredText(ADDRESS),
        encoded.requiredText(ZONE),
        encoded.requiredNumber(CONFIGURATION_REVISION),
        encoded.requiredNumber(SILENT_MILLIS),
        figures.fields().isEmpty() ? null : figures);
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded =
        new WireRecord(KIND)
            .with(NAME, name)
            .with(ADDRESS, address)
            .with(ZONE, zone)
            .with(CONFIGURATION_REVISION, configurationRevision)
            .with(SILENT_MILLIS, silentMillis);
    if (messageStoreFigures != null) {
      messageStoreFigures.fields().forEach(encoded::with);
    }
    return encoded;
  }
}
