package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link StatusRequest}.
 *
 * @param confirmed whether the sender proved that it was the primary when the request arrived
 * @param core the core's group and its members
 * @param state the replicated state
 * @param fleet the nodes and workers
 * @param resources quotas, key ranges and message partitions
 */
public record StatusReply(
    boolean confirmed, Core core, State state, Fleet fleet, Resources resources)
    implements PrimaryReply {
  private static final String CONFIRMED = "confirmed";
  private static final String EPOCH_RECORD = "record";
  private static final String SILENT_MEMBERS = "silent";
  private static final String REVISION = "rev";
  private static final String LOCKED_KEYS = "claims";
  private static final String NODES = "nodes";
  private static final String STORES = "stores";
  private static final String WORKERS = "workers";
  private static final String QUOTAS = "quotas";
  private static final String KEY_RANGES = "keys";
  private static final String PARTITIONS = "partitions";

  /**
   * The core.
   *
   * @param epochRecord the epoch in force
   * @param silentMembers names of the members that the primary has not heard for long
   */
  public record Core(EpochRecord epochRecord, List<String> silentMembers) {
    /** Creates the core's part; the list is copied. */
    public Core {
      silentMembers = List.copyOf(silentMembers);
    }
  }

  /**
   * The replicated state.
   *
   * @param committedRevision the committed configuration revision
   * @param lockedKeys number of locked idempotency keys
   */
  public record State(long committedRevision, long lockedKeys) {}

  /**
   * Nodes and workers.
   *
   * @param nodes nodes without a message store
   * @param stores nodes with a message store
   * @param workers all workers of the table
   */
  public record Fleet(List<NodeStatus> nodes, List<NodeStatus> stores, List<WorkerReport> workers) {
    /** Creates the fleet's part; the lists are copied. */
    public Fleet {
      nodes = List.copyOf(nodes);
      stores = List.copyOf(stores);
      workers = List.copyOf(workers);
    }
  }

  /**
   * Quotas, key ranges and message partitions.
   *
   * @param quotas the quota buckets
   * @param keyRanges one row a service, encoded by the key range module
   * @param partitions the message partitions, or null if the sender reports none
   */
  public record Resources(
      List<QuotaStatus> quotas, List<WireRecord> keyRanges, PartitionStatus partitions) {
    /** Creates the part; the lists are copied. */
    public Resources {
      quotas = List.copyOf(quotas);
      keyRanges = List.copyOf(keyRanges);
    }
  }

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static StatusReply of(WireRecord encoded) throws ProtocolException {
    return new StatusReply(
        encoded.truth(CONFIRMED),
        new Core(
            EpochRecord.of(encoded.requiredNested(EPOCH_RECORD)),
            MessageFields.textList(encoded, SILENT_MEMBERS)),
        new State(encoded.requiredNumber(REVISION), encoded.requiredNumber(LOCKED_KEYS)),
        new Fleet(
            nodes(encoded, NODES), nodes(encoded, STORES), WorkerReport.listOf(encoded, WORKERS)),
        resources(encoded));
  }

  private static List<NodeStatus> nodes(WireRecord encoded, String field) throws ProtocolException {
    List<NodeStatus> nodes = new ArrayList<>();
    for (WireRecord node : MessageFields.nestedList(encoded, field)) {
      nodes.add(NodeStatus.of(node));
    }
    return nodes;
  }

  private static Resources resources(WireRecord encoded) throws ProtocolException {
    List<QuotaStatus> quotas = new ArrayList<>();
    for (WireRecord quota : MessageFields.nestedList(encoded, QUOTAS)) {
      quotas.add(QuotaStatus.of(quota));
    }
    return new Resources(
        quotas,
        MessageFields.nestedList(encoded, KEY_RANGES),
        encoded.has(PARTITIONS) ? PartitionStatus.of(encoded.requiredNested(PARTITIONS)) : null);
  }

  private static List<WireRecord> encode(List<? extends Encodable> rows) {
    List<WireRecord> records = new ArrayList<>();
    rows.forEach(row -> records.add(row.toWireRecord()));
    return records;
  }

  @Override
  public WireRecord toWireRecord() {
    PartitionStatus partitions = resources.partitions();
    return PrimaryReply.encoded()
        .with(CONFIRMED, confirmed)
        .with(EPOCH_RECORD, core.epochRecord().toWireRecord())
        .with(SILENT_MEMBERS, core.silentMembers())
        .with(REVISION, state.committedRevision())
        .with(LOCKED_KEYS, state.lockedKeys())
        .withRecords(NODES, encode(fleet.nodes()))
        .withRecords(STORES, encode(fleet.stores()))
        .withRecords(WORKERS, encode(fleet.workers()))
        .withRecords(QUOTAS, encode(resources.quotas()))
        .withRecords(KEY_RANGES, resources.keyRanges())
        .with(PARTITIONS, partitions == null ? null : partitions.toWireRecord());
  }
}
