package org.otterpond.control.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.ParsedConfiguration;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * Applies the primary's answers to polls on this node, and knows up to which versions it has: the
 * configuration, the worker table and the assignments. Used by the owner thread only.
 */
final class UpdateApplier {
  private final NodeRuntime runtime;
  private final DataPlane dataPlane;
  private final WorkerRoster roster;
  private final ActiveConfiguration configuration;
  private final LongFunction<ParsedConfiguration> parsedByPrimary;

  private long tableEpoch;
  private long tableVersion;
  private long assignmentNumber;

  /**
   * Creates an applier on a node that has received nothing.
   *
   * @param parsedByPrimary the configuration of a revision if the primary on this node has parsed
   *     it, else null
   */
  UpdateApplier(
      NodeRuntime runtime,
      DataPlane dataPlane,
      WorkerRoster roster,
      ActiveConfiguration configuration,
      LongFunction<ParsedConfiguration> parsedByPrimary) {
    this.runtime = runtime;
    this.dataPlane = dataPlane;
    this.roster = roster;
    this.configuration = configuration;
    this.parsedByPrimary = parsedByPrimary;
  }

  WorkerRoster roster() {
    return roster;
  }

  ActiveConfiguration configuration() {
    return configuration;
  }

  /** The epoch to which {@link #tableVersion()} belongs, 0 before the first answer. */
  long tableEpoch() {
    return tableEpoch;
  }

  /** The version of the primary's worker table up to which this node has all changes. */
  long tableVersion() {
    return tableVersion;
  }

  /** The number of the newest assignment that this node has. */
  long assignmentNumber() {
    return assignmentNumber;
  }

  /** Hands the configuration or the changes in an answer, if any, to the parser. */
  void applyConfiguration(WireRecord answer) {
    if (answer.has("cfg")) {
      configuration.receive(answer, parsedByPrimary.apply(answer.number("cfg")));
    }
  }

  /** Merges the changed workers, or the whole table, into the roster. */
  void applyWorkers(WireRecord answer) {
    long now = runtime.now();
    answer.records("table").forEach(worker -> roster.merge(WorkerInstance.of(worker, now)));
    if (answer.has("whole")) {
      applyWholeTable(answer, now);
    }
    tableVersion = answer.number("ver");
    tableEpoch = answer.number("epoch");
  }

  private void applyWholeTable(WireRecord answer, long now) {
    List<WireRecord> rows;
    try {
      rows = CompressedPayload.unpack(answer.bytes("whole")).records("table");
    } catch (ProtocolException e) {
      runtime.event("event=worker_table_unreadable cause=" + e.getMessage());
      return;
    }
    Map<String, WorkerInstance> primaryTable = new LinkedHashMap<>();
    for (WireRecord row : rows) {
      WorkerInstance worker = WorkerInstance.of(row, now);
      primaryTable.put(worker.id(), worker);
      roster.merge(worker);
    }
    if (answer.truth("want")) {
      roster.compareWith(primaryTable);
    }
  }

  /** Hands new assignments to the data plane, in their order. */
  void applyAssignments(WireRecord answer) {
    if (!answer.has("asno") || answer.number("asno") <= assignmentNumber) {
      return;
    }
    List<WireRecord> assignments;
    try {
      assignments =
          answer.has("aswhole")
              ? CompressedPayload.unpack(answer.bytes("aswhole")).records("entries")
              : answer.records("as");
    } catch (ProtocolException e) {
      runtime.event("event=assignments_unreadable cause=" + e.getMessage());
      return;
    }
    assignmentNumber = answer.number("asno");
    assignments.forEach(dataPlane::assigned);
  }
}
