package org.otterpond.control.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.message.AssignmentUpdate;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.control.message.PollResponse;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.message.WorkerTable;
import org.otterpond.control.message.WorkerTableUpdate;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.WorkerInstance;
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

  /** Hands a new configuration, or the changes to it, to the parser. */
  void applyConfiguration(ConfigurationUpdate update) {
    configuration.receive(update, parsedByPrimary.apply(update.revision()));
  }

  /** Merges the changed workers, or the complete table, into the roster. */
  void applyWorkers(PollResponse response) {
    response.workers().ifPresent(this::applyTableUpdate);
    tableVersion = response.header().workerTableVersion();
    tableEpoch = response.header().epoch();
  }

  private void applyTableUpdate(WorkerTableUpdate update) {
    long now = runtime.now();
    if (update.complete() == null) {
      update.changed().forEach(report -> roster.mergeFromPrimary(report.worker(now)));
      return;
    }
    WorkerTable table;
    try {
      table = WorkerTable.of(update.complete());
    } catch (ProtocolException e) {
      runtime.event("event=worker_table_unreadable cause=" + e.getMessage());
      return;
    }
    Map<String, WorkerInstance> primaryTable = new LinkedHashMap<>();
    for (WorkerReport report : table.workers()) {
      WorkerInstance worker = report.worker(now);
      primaryTable.put(worker.id(), worker);
      roster.mergeFromPrimary(worker);
    }
    if (update.reportDifferences()) {
      roster.compareWith(primaryTable);
    }
  }

  /** Hands new assignments to the data plane, in their order. */
  void applyAssignments(AssignmentUpdate update) {
    if (update.number() <= assignmentNumber) {
      return;
    }
    List<WireRecord> entries;
    try {
      entries = update.entries();
    } catch (ProtocolException e) {
      runtime.event("event=assignments_unreadable cause=" + e.getMessage());
      return;
    }
    assignmentNumber = update.number();
    entries.forEach(dataPlane::assigned);
  }
}
