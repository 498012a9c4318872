package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.control.state.CoreMember;
import org.otterpond.protocol.WireRecord;

/** Entries that are replicated together, and who holds them durably. */
final class ReplicationBatch {
  private final List<WireRecord> entries = new ArrayList<>();
  private final List<Runnable> whenCommitted = new ArrayList<>();
  private final Set<String> durableOn = new HashSet<>();
  private boolean durableHere;
  private long closedAt;
  private long sentAt;

  void add(WireRecord entry, Runnable committed) {
    entries.add(entry);
    whenCommitted.add(committed);
  }

  List<WireRecord> entries() {
    return entries;
  }

  List<Runnable> whenCommitted() {
    return whenCommitted;
  }

  /** No entry is added any more. */
  void close(long now) {
    closedAt = now;
  }

  long closedAt() {
    return closedAt;
  }

  void sent(long now) {
    sentAt = now;
  }

  long sentAt() {
    return sentAt;
  }

  void markDurableHere() {
    durableHere = true;
  }

  void markDurableOn(String diskId) {
    durableOn.add(diskId);
  }

  boolean isDurableOn(CoreMember backup) {
    return durableOn.contains(backup.diskId());
  }

  boolean isDurableOnAll(List<CoreMember> backups) {
    return durableOn.size() >= backups.size();
  }

  /** Whether this node and all of these backups hold the batch durably. */
  boolean isCommitted(List<CoreMember> backups) {
    return durableHere && isDurableOnAll(backups);
  }
}
