package org.otterpond.replication;

import java.util.Map;
import java.util.Optional;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A message between two replicas of one group. The sender's runtime may add the recipient as a
 * further field, which the replica ignores.
 */
public sealed interface GroupMessage extends Encodable
    permits PrepareMessage,
        PreparedMessage,
        ReconcileMessage,
        CopyStartMessage,
        CopyPiecesMessage,
        ConfigurationMessage {
  /** Returns the number of the group. */
  int group();

  /**
   * Reads a message of a replica group.
   *
   * @return the message, or empty if this version does not know the kind
   * @throws ProtocolException if a required field is missing
   */
  static Optional<GroupMessage> decode(WireRecord encoded) throws ProtocolException {
    RecordDecoder<GroupMessage> decoder = Decoders.BY_KIND.get(encoded.kind());
    return decoder == null ? Optional.empty() : Optional.of(decoder.decode(encoded));
  }

  /** The decoders of the family by encoded kind. */
  final class Decoders {
    private static final Map<String, RecordDecoder<GroupMessage>> BY_KIND =
        Map.of(
            PrepareMessage.KIND, PrepareMessage::of,
            PreparedMessage.KIND, PreparedMessage::of,
            ReconcileMessage.KIND, ReconcileMessage::of,
            CopyStartMessage.KIND, CopyStartMessage::of,
            CopyPiecesMessage.KIND, CopyPiecesMessage::of,
            ConfigurationMessage.KIND, ConfigurationMessage::of);

    private Decoders() {}
  }
}
