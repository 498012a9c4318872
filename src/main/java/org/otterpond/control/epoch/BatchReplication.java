package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.otterpond.control.epoch.message.ReplicateRequest;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/**
 * Replicates the entries of the primary to its backups in batches. A batch is committed once it is
 * durable here and on each backup. One batch is in flight at a time; entries that come meanwhile go
 * together in the next.
 */
final class BatchReplication {
  private final EpochContext context;
  private final EpochTransitions transitions;
  private final CommittedConfiguration configuration;
  private final Runnable whenIdle;

  /** The batches of this epoch that are not committed, by their number. */
  private final TreeMap<Long, ReplicationBatch> uncommitted = new TreeMap<>();

  private long lastBatchNumber;

  /** The batch that entries are added to, or null. */
  private ReplicationBatch open;

  /** Entries that wait for the next epoch to begin. */
  private final List<ReplicationBatch> waiting = new ArrayList<>();

  /**
   * Creates the replication.
   *
   * @param whenIdle runs when the last batch in flight has been committed
   */
  BatchReplication(
      EpochContext context,
      EpochTransitions transitions,
      CommittedConfiguration configuration,
      Runnable whenIdle) {
    this.context = context;
    this.transitions = transitions;
    this.configuration = configuration;
    this.whenIdle = whenIdle;
  }

  boolean isIdle() {
    return uncommitted.isEmpty();
  }

  /** Returns the oldest batch in flight if it has taken longer than a sync may, or null. */
  ReplicationBatch overdue(long now) {
    ReplicationBatch oldest = isIdle() ? null : uncommitted.firstEntry().getValue();
    return oldest != null && now - oldest.closedAt() > context.timeouts().diskStallMicros()
        ? oldest
        : null;
  }

  /** Applies the entry and replicates it; the action runs once it is committed. */
  void add(WireRecord entry, Runnable committed) {
    context.state().apply(entry, context.now());
    if (open == null) {
      open = new ReplicationBatch();
      context.runtime().after(0, this::sendNext);
    }
    open.add(entry, committed);
  }

  /** Keeps the entry until the next epoch of this node begins. */
  void addToNextEpoch(WireRecord entry, Runnable committed) {
    ReplicationBatch batch = new ReplicationBatch();
    batch.add(entry, committed);
    waiting.add(batch);
  }

  /** Closes the open batch and sends it, unless another is in flight. */
  void sendNext() {
    if (open == null || !transitions.isActivePrimary() || !isIdle()) {
      return;
    }
    long batchNumber = ++lastBatchNumber;
    send(batchNumber, writeOpen(batchNumber));
  }

  /** Writes the open batch before a candidacy: its entries are part of the state that is copied. */
  void writeOpenBatch() {
    if (open != null) {
      writeOpen(++lastBatchNumber);
    }
  }

  /** Writes the open batch under its number, before anything that is written later. */
  private ReplicationBatch writeOpen(long batchNumber) {
    ReplicationBatch batch = open;
    open = null;
    batch.close(context.now());
    uncommitted.put(batchNumber, batch);
    long epoch = transitions.record().epoch();
    transitions
        .log()
        .appendBatch(
            batch.entries(),
            () -> {
              batch.markDurableHere();
              if (transitions.isActivePrimary() && transitions.record().epoch() == epoch) {
                commitCompleted();
              }
            });
    return batch;
  }

  private void send(long batchNumber, ReplicationBatch batch) {
    batch.sent(context.now());
    EpochRecord record = transitions.record();
    ReplicateRequest request = new ReplicateRequest(record.epoch(), batchNumber, batch.entries());
    for (CoreMember backup : record.backups()) {
      if (!batch.isDurableOn(backup)) {
        context.send(backup.address(), request);
      }
    }
  }

  /** Sends again what backups have not acknowledged in time. */
  void resendOverdue(long now) {
    List<CoreMember> backups = transitions.record().backups();
    for (Map.Entry<Long, ReplicationBatch> entry : uncommitted.entrySet()) {
      ReplicationBatch batch = entry.getValue();
      if (!batch.isDurableOnAll(backups)
          && now - batch.sentAt() > context.timeouts().resendMicros()) {
        send(entry.getKey(), batch);
      }
    }
  }

  /** A backup holds the batch durably. */
  void acknowledged(String diskId, long batchNumber) {
    ReplicationBatch batch = uncommitted.get(batchNumber);
    if (batch != null) {
      batch.markDurableOn(diskId);
      commitCompleted();
    }
  }

  private void commitCompleted() {
    while (!isIdle()) {
      ReplicationBatch oldest = uncommitted.firstEntry().getValue();
      if (!oldest.isCommitted(transitions.record().backups())) {
        return;
      }
      uncommitted.pollFirstEntry();
      commit(oldest);
    }
    whenIdle.run();
  }

  private void commit(ReplicationBatch batch) {
    batch.entries().forEach(configuration::update);
    batch.whenCommitted().forEach(Runnable::run);
  }

  /** An epoch of this node begins: its batches are numbered from 1. */
  void epochBegan() {
    lastBatchNumber = 0;
  }

  /** Replicates the entries that waited for the epoch to begin. */
  void addWaiting() {
    List<ReplicationBatch> taken = new ArrayList<>(waiting);
    waiting.clear();
    for (ReplicationBatch batch : taken) {
      transitions.primary().propose(batch.entries().get(0), batch.whenCommitted().get(0));
    }
  }

  /** Commits what was in flight or open: each backup of the new epoch has it in the snapshot. */
  void commitAllCopied() {
    List<ReplicationBatch> copied = new ArrayList<>(uncommitted.values());
    if (open != null) {
      copied.add(open);
    }
    uncommitted.clear();
    open = null;
    copied.forEach(this::commit);
  }

  /** This node is no longer primary: nothing that is in flight is acknowledged. */
  void discardAll() {
    uncommitted.clear();
    waiting.clear();
    open = null;
  }
}
