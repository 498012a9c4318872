package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The complete worker table, which is compressed once for all receivers.
 *
 * @param workers all workers of the table
 */
public record WorkerTable(List<WorkerReport> workers) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "table";

  private static final String WORKERS = "table";

  /** Creates a table; the list is copied. */
  public WorkerTable {
    workers = List.copyOf(workers);
  }

  /**
   * Reads a table.
   *
   * @throws ProtocolException if a worker is malformed
   */
  public static WorkerTable of(WireRecord encoded) throws ProtocolException {
    return new WorkerTable(WorkerReport.listOf(encoded, WORKERS));
  }

  /**
   * Reads a compressed table.
   *
   * @throws ProtocolException if the bytes hold no table
   */
  public static WorkerTable of(CompressedBytes compressed) throws ProtocolException {
    return of(compressed.record());
  }

  /** Returns the compressed form of the table. */
  public CompressedBytes compressed() {
    return CompressedBytes.ofRecord(toWireRecord());
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).withRecords(WORKERS, WorkerReport.encode(workers));
  }
}
