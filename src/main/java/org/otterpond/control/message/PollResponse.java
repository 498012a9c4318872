package org.otterpond.control.message;

import java.util.Optional;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The primary's answer to a {@link NodePoll}: the updates that the node lacks.
 *
 * @param header the fields that every response has
 * @param membership the epoch and the other nodes, if either changed
 * @param configuration the newer configuration, if there is one
 * @param workers the newer worker table, if there is one
 * @param assignments the newer assignments, if there are any
 */
public record PollResponse(
    PollResponseHeader header,
    Optional<MembershipUpdate> membership,
    Optional<ConfigurationUpdate> configuration,
    Optional<WorkerTableUpdate> workers,
    Optional<AssignmentUpdate> assignments)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "news";

  /**
   * Reads a response.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static PollResponse of(WireRecord encoded) throws ProtocolException {
    return new PollResponse(
        PollResponseHeader.of(encoded),
        MembershipUpdate.isIn(encoded)
            ? Optional.of(MembershipUpdate.of(encoded))
            : Optional.empty(),
        ConfigurationUpdate.isIn(encoded)
            ? Optional.of(ConfigurationUpdate.of(encoded))
            : Optional.empty(),
        WorkerTableUpdate.isIn(encoded)
            ? Optional.of(WorkerTableUpdate.of(encoded))
            : Optional.empty(),
        AssignmentUpdate.isIn(encoded)
            ? Optional.of(AssignmentUpdate.of(encoded))
            : Optional.empty());
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded = new WireRecord(KIND);
    header.addTo(encoded);
    membership.ifPresent(update -> update.addTo(encoded));
    configuration.ifPresent(update -> update.addTo(encoded));
    workers.ifPresent(update -> update.addTo(encoded));
    assignments.ifPresent(update -> update.addTo(encoded));
    return encoded;
  }
}
