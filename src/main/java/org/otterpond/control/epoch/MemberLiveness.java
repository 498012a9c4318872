package org.otterpond.control.epoch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.epoch.message.Pong;
import org.otterpond.control.state.CoreMember;

/** When the primary last heard of each member, and of each backup as one that follows it. */
final class MemberLiveness {
  private final EpochContext context;
  private final Map<String, Long> memberHeardAt = new HashMap<>();
  private final Map<String, Long> backupHeardAt = new HashMap<>();

  MemberLiveness(EpochContext context) {
    this.context = context;
  }

  void memberHeard(String diskId) {
    memberHeardAt.put(diskId, context.now());
  }

  void backupHeard(String diskId) {
    backupHeardAt.put(diskId, context.now());
  }

  /** A backup closed its connection: it has a short time to be heard again. */
  void backupConnectionClosed(CoreMember backup) {
    EpochTimeouts timeouts = context.timeouts();
    backupHeardAt.merge(
        backup.diskId(),
        context.now() - timeouts.backupSilenceMicros() + timeouts.closedGraceMicros(),
        Math::min);
  }

  /** Whether the member has been silent for longer than the given time. */
  boolean isSilent(CoreMember member, long micros) {
    return context.now() - memberHeardAt.getOrDefault(member.diskId(), 0L) > micros;
  }

  /** Whether the backup has been silent for longer than a backup may be. */
  boolean isBackupSilent(CoreMember backup, long now) {
    return now - backupHeardAt.getOrDefault(backup.diskId(), 0L)
        > context.timeouts().backupSilenceMicros();
  }

  /** Returns the other members that were heard of lately. */
  List<CoreMember> reachable(List<CoreMember> members) {
    long silence = context.timeouts().backupSilenceMicros();
    return members.stream().filter(m -> !context.isSelf(m) && !isSilent(m, silence)).toList();
  }

  /** This node becomes primary after another one: what it heard earlier as primary is outdated. */
  void forgetMembers() {
    memberHeardAt.clear();
  }

  /**
   * An epoch of this node begins. A member that has not answered yet is not dead for that: it has a
   * moment to be heard.
   */
  void epochBegan(Candidacy candidacy) {
    long now = context.now();
    backupHeardAt.clear();
    candidacy.backups().forEach(backup -> backupHeard(backup.diskId()));
    long unheard = now - context.timeouts().primarySilenceMicros();
    for (CoreMember member : candidacy.proposal().members()) {
      if (candidacy.hasAcceptOf(member)) {
        memberHeard(member.diskId());
      } else {
        memberHeardAt.putIfAbsent(member.diskId(), unheard);
      }
    }
  }

  /** Takes a response to a ping; {@code follows} if the sender follows as a backup. */
  void onPong(Pong pong, boolean follows) {
    String diskId = pong.status().diskId();
    memberHeard(diskId);
    if (follows && !pong.status().diskFailed()) {
      backupHeard(diskId);
    }
  }
}
