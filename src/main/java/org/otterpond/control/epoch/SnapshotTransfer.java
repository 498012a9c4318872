package org.otterpond.control.epoch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.control.epoch.message.FormerAuthority;
import org.otterpond.control.epoch.message.SnapshotChunk;
import org.otterpond.control.epoch.message.SnapshotChunkRequest;
import org.otterpond.control.epoch.message.SnapshotChunkResponse;
import org.otterpond.control.epoch.message.SnapshotProgress;
import org.otterpond.control.state.CoreMember;

/** Copies the state of a candidate to the backups of its epoch, until each has it durably. */
final class SnapshotTransfer {
  private final EpochContext context;
  private final long epoch;
  private final List<CoreMember> backups;
  private final FormerAuthority formerAuthority;
  private final SnapshotSender sender;
  private final Set<String> installedOn = new HashSet<>();
  private long progressAnnouncedAt;

  /** Takes the snapshot: nothing changes from here until the epoch has begun. */
  SnapshotTransfer(
      EpochContext context, long epoch, List<CoreMember> backups, FormerAuthority formerAuthority) {
    this.context = context;
    this.epoch = epoch;
    this.backups = backups;
    this.formerAuthority = formerAuthority;
    long snapshotNumber = context.runtime().random(Long.MAX_VALUE - 1) + 1;
    this.sender = new SnapshotSender(snapshotNumber, context.state().snapshot());
    this.progressAnnouncedAt = context.now();
  }

  /** Sends the first chunks to each backup. */
  void start() {
    long now = context.now();
    backups.forEach(backup -> send(backup, sender.nextChunks(backup.diskId(), now)));
  }

  /** Resends what backups that are silent lack, and tells the members that the transfer goes on. */
  void tick(long now, List<CoreMember> members) {
    EpochTimeouts timeouts = context.timeouts();
    for (CoreMember backup : backups) {
      if (!isInstalledOn(backup)) {
        send(backup, sender.chunksToResend(backup.diskId(), now, timeouts.diskStallMicros()));
      }
    }
    if (now - progressAnnouncedAt > timeouts.phaseMicros() / 3) {
      progressAnnouncedAt = now;
      context.sendToOthers(members, new SnapshotProgress(epoch));
    }
  }

  /** Sends the next chunks to the backup; false if the response shows no progress. */
  boolean onResponse(SnapshotChunkResponse response) {
    long now = context.now();
    String diskId = response.diskId();
    if (!sender.acknowledged(diskId, response.snapshotNumber(), response.receivedChunks(), now)) {
      return false;
    }
    for (CoreMember backup : backups) {
      if (backup.diskId().equals(diskId)) {
        send(backup, sender.nextChunks(diskId, now));
      }
    }
    return true;
  }

  void installed(String diskId) {
    installedOn.add(diskId);
  }

  boolean isInstalledOn(CoreMember backup) {
    return installedOn.contains(backup.diskId());
  }

  boolean isComplete() {
    return backups.stream().allMatch(this::isInstalledOn);
  }

  private void send(CoreMember backup, List<SnapshotChunk> chunks) {
    for (SnapshotChunk chunk : chunks) {
      context.send(
          backup.address(),
          new SnapshotChunkRequest(
              chunk, epoch, backup.diskId(), formerAuthority, context.self().address()));
    }
  }
}
