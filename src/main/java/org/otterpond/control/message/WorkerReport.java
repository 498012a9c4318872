package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The state of one worker incarnation as a message carries it.
 *
 * <p>Clocks of nodes are not compared: the end of a worker's slow start is encoded as the time left
 * when the message was encoded, and converted to the receiver's monotonic clock.
 */
public final class WorkerReport implements Encodable {
  /** The encoded kind. */
  public static final String KIND = WorkerInstance.KIND;

  private static final String ZONE = "zone";
  private static final String REVISION = "rev";

  /** The worker, with the end of its slow start relative to the moment of encoding. */
  private final WorkerInstance relative;

  private WorkerReport(WorkerInstance relative) {
    this.relative = relative;
  }

  /**
   * Returns the report of a worker.
   *
   * @param nowMicros the sender's monotonic time
   */
  public static WorkerReport of(WorkerInstance worker, long nowMicros) {
    return new WorkerReport(
        worker.withSlowStartEnd(Math.max(0, worker.slowStartEndMicros() - nowMicros)));
  }

  /** Returns the reports of several workers at the same time. */
  public static List<WorkerReport> of(Collection<WorkerInstance> workers, long nowMicros) {
    return workers.stream().map(worker -> of(worker, nowMicros)).toList();
  }

  /**
   * Reads a report.
   *
   * @throws ProtocolException if a required field is missing or the state is unknown
   */
  public static WorkerReport of(WireRecord encoded) throws ProtocolException {
    MessageFields.optionalText(encoded, ZONE);
    MessageFields.optionalText(encoded, REVISION);
    return new WorkerReport(WorkerInstance.decode(encoded, 0));
  }

  static List<WorkerReport> listOf(WireRecord message, String field) throws ProtocolException {
    List<WorkerReport> reports = new ArrayList<>();
    for (WireRecord encoded : MessageFields.nestedList(message, field)) {
      reports.add(of(encoded));
    }
    return reports;
  }

  static List<WireRecord> encode(Collection<WorkerReport> reports) {
    return reports.stream().map(WorkerReport::toWireRecord).toList();
  }

  /**
   * Returns the worker with its times on the reader's clock.
   *
   * @param nowMicros the reader's monotonic time
   */
  public WorkerInstance worker(long nowMicros) {
    return relative.withSlowStartEnd(
        WorkerInstance.slowStartEnd(relative.slowStartEndMicros(), nowMicros));
  }

  @Override
  public WireRecord toWireRecord() {
    return relative.toWireRecord(0);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkerReport that && relative.equals(that.relative);
  }

  @Override
  public int hashCode() {
    return relative.hashCode();
  }

  @Override
  public String toString() {
    return relative.toString();
  }
}
