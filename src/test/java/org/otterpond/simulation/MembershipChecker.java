package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/**
 * Checks each epoch as it begins. The disks of a majority of its members, and of those of the epoch
 * before, must hold its record, and each of its group a copy of the state; at most one member may
 * be added and one removed. It reads the disks and knows nothing of how the nodes agree.
 */
final class MembershipChecker {
  private static final long CHECK_INTERVAL_MICROS = 500;

  private final SimulatedCluster cluster;

  /** Every core node that there has been, also after its removal from the cluster. */
  private final List<SimulatedNode> machines = new ArrayList<>();

  private EpochRecord previous;
  final List<String> violations = new ArrayList<>();

  MembershipChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
    previous = cluster.primary().agent.known();
    checkRepeatedly();
  }

  private void checkRepeatedly() {
    check();
    cluster.world.schedule(CHECK_INTERVAL_MICROS, this::checkRepeatedly);
  }

  /**
   * Checks the newest epoch. To be called before a disk is wiped too: what it held when the epoch
   * began counts.
   */
  void check() {
    SimulatedNode primary = cluster.primary();
    if (primary == null || primary.agent.known().epoch() <= previous.epoch()) {
      return;
    }
    EpochRecord current = primary.agent.known();
    if (acceptedBy(current, current.members()) < current.quorum()
        || acceptedBy(current, previous.members()) < previous.quorum()) {
      addViolation(current, "began without a majority");
    }
    if (membersMissingIn(previous, current) > 1 || membersMissingIn(current, previous) > 1) {
      addViolation(current, "changes more than one member");
    }
    List<CoreMember> group =
        Stream.concat(current.backups().stream(), Stream.of(current.primary())).toList();
    if (acceptedBy(current, group) < group.size()) {
      addViolation(current, "began without its whole group");
    }
    previous = current;
  }

  private void addViolation(EpochRecord epoch, String what) {
    violations.add("epoch " + epoch.epoch() + " " + what);
  }

  private static long membersMissingIn(EpochRecord other, EpochRecord epoch) {
    return epoch.members().stream().filter(member -> !other.hasMember(member.diskId())).count();
  }

  private long acceptedBy(EpochRecord epoch, List<CoreMember> members) {
    cluster.coreNodes.stream().filter(node -> !machines.contains(node)).forEach(machines::add);
    return members.stream().filter(member -> hasAccepted(member, epoch)).count();
  }

  private boolean hasAccepted(CoreMember member, EpochRecord epoch) {
    return machines.stream()
        .filter(machine -> machine.disk.id.equals(member.diskId()))
        .flatMap(machine -> machine.disk.read().stream())
        .anyMatch(record -> isAcceptance(record, epoch));
  }

  private static boolean isAcceptance(WireRecord record, EpochRecord epoch) {
    return record.kind().equals("accept")
        && record.nested("record").number("epoch") >= epoch.epoch();
  }
}
