package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The message partitions in a {@link StatusReply}.
 *
 * @param count number of partitions
 * @param underReplicated number of partitions that have fewer replicas than wanted
 * @param stores the partitions of each storage node
 */
public record PartitionStatus(int count, int underReplicated, List<StoreLoad> stores)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "partitions";

  private static final String COUNT = "count";
  private static final String UNDER_REPLICATED = "lacking";
  private static final String STORES = "stores";

  /**
   * The load of one storage node.
   *
   * @param address address of the node
   * @param partitions number of partitions of which it has a replica
   */
  public record StoreLoad(String address, int partitions) implements Encodable {
    /** The encoded kind. */
    public static final String KIND = "row";

    private static final String ADDRESS = "addr";
    private static final String PARTITIONS = "partitions";

    static StoreLoad of(WireRecord encoded) throws ProtocolException {
      return new StoreLoad(encoded.requiredText(ADDRESS), (int) encoded.requiredNumber(PARTITIONS));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(ADDRESS, address).with(PARTITIONS, partitions);
    }
  }

  /** Creates a status; the list is copied. */
  public PartitionStatus {
    stores = List.copyOf(stores);
  }

  /**
   * Reads a status.
   *
   * @throws ProtocolException if a field is missing or has the wrong type
   */
  public static PartitionStatus of(WireRecord encoded) throws ProtocolException {
    List<StoreLoad> stores = new ArrayList<>();
    for (WireRecord store : MessageFields.nestedList(encoded, STORES)) {
      stores.add(StoreLoad.of(store));
    }
    return new PartitionStatus(
        (int) encoded.requiredNumber(COUNT),
        (int) encoded.requiredNumber(UNDER_REPLICATED),
        stores);
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(COUNT, count)
        .with(UNDER_REPLICATED, underReplicated)
        .withRecords(STORES, stores.stream().map(StoreLoad::toWireRecord).toList());
  }
}
