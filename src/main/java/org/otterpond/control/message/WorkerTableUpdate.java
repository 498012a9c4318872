package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The part of a poll response that brings a node's worker table up to date: either the complete
 * table or the workers that changed.
 *
 * @param complete the compressed {@link WorkerTable}, or null if the update consists of changes
 * @param reportDifferences whether the receiver is to report the workers that it knows in a newer
 *     state than the complete table has
 * @param changed the workers that changed; empty if the update is the complete table
 */
public record WorkerTableUpdate(
    CompressedBytes complete, boolean reportDifferences, List<WorkerReport> changed) {
  private static final String COMPLETE = "whole";
  private static final String REPORT_DIFFERENCES = "want";
  private static final String CHANGED = "table";

  /** Creates an update; the list is copied. */
  public WorkerTableUpdate {
    changed = List.copyOf(changed);
  }

  /** Returns an update that consists of the complete table. */
  public static WorkerTableUpdate complete(CompressedBytes table, boolean reportDifferences) {
    return new WorkerTableUpdate(table, reportDifferences, List.of());
  }

  /** Returns an update that consists of the workers that changed. */
  public static WorkerTableUpdate incremental(List<WorkerReport> changed) {
    return new WorkerTableUpdate(null, false, changed);
  }

  static boolean isIn(WireRecord response) {
    return response.has(COMPLETE) || response.has(CHANGED);
  }

  static WorkerTableUpdate of(WireRecord response) throws ProtocolException {
    return response.has(COMPLETE)
        ? complete(
            CompressedBytes.of(response.requiredBytes(COMPLETE)),
            response.truth(REPORT_DIFFERENCES))
        : incremental(WorkerReport.listOf(response, CHANGED));
  }

  void addTo(WireRecord response) {
    if (complete != null) {
      response
          .with(COMPLETE, complete.bytes())
          .with(REPORT_DIFFERENCES, reportDifferences ? true : null);
    } else {
      response.withRecords(CHANGED, WorkerReport.encode(changed));
    }
  }
}
