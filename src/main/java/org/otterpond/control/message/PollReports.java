package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * What a polling node reports with its poll.
 *
 * @param messageStoreFigures figures of the node's message store, encoded by the messaging module;
 *     null if the node has none
 * @param keyLoads requests by key since the last report, encoded by the key range module
 * @param workers workers that the node knows in a newer state than the primary
 */
public record PollReports(
    WireRecord messageStoreFigures, List<WireRecord> keyLoads, List<WorkerReport> workers) {
  /** The reports of a node that has nothing to report. */
  public static final PollReports NONE = new PollReports(null, List.of(), List.of());

  private static final String MESSAGE_STORE_FIGURES = "figures";
  private static final String KEY_LOADS = "heat";
  private static final String WORKERS = "tell";

  /** Creates the reports; the lists are copied. */
  public PollReports {
    keyLoads = List.copyOf(keyLoads);
    workers = List.copyOf(workers);
  }

  static PollReports of(WireRecord poll) throws ProtocolException {
    return new PollReports(
        MessageFields.optionalNested(poll, MESSAGE_STORE_FIGURES),
        MessageFields.nestedList(poll, KEY_LOADS),
        WorkerReport.listOf(poll, WORKERS));
  }

  void addFiguresTo(WireRecord poll) {
    poll.with(MESSAGE_STORE_FIGURES, messageStoreFigures);
  }

  void addListsTo(WireRecord poll) {
    if (!keyLoads.isEmpty()) {
      poll.withRecords(KEY_LOADS, keyLoads);
    }
    if (!workers.isEmpty()) {
      poll.withRecords(WORKERS, WorkerReport.encode(workers));
    }
  }
}
