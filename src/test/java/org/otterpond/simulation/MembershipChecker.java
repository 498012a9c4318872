package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/**
 * Looks at each epoch as it begins: the disks of a majority of its members, and of those before,
 * must hold its record, each of its group a copy of the state, and one member at most may have come
 * and one gone. It reads the disks, and knows nothing of how nodes agree.
 */
final class MembershipChecker {
  private static final long EVERY = 500;

  private final SimulatedCluster fleet;
  private final List<SimulatedNode> machines = new ArrayList<>();
  private EpochRecord before;
  final List<String> broken = new ArrayList<>();

  MembershipChecker(SimulatedCluster fleet) {
    this.fleet = fleet;
    before = fleet.leader().node.known();
    again();
  }

  private void again() {
    look();
    fleet.world.at(EVERY, this::again);
  }

  /** To be called before a disk is lost too: what it held when the epoch began counts. */
  void look() {
    SimulatedNode leader = fleet.leader();
    if (leader == null || leader.node.known().epoch() <= before.epoch()) {
      return;
    }
    EpochRecord r = leader.node.known();
    if (accepted(r, r.members()) < r.quorum() || accepted(r, before.members()) < before.quorum()) {
      broken.add("epoch " + r.epoch() + " began without a majority");
    }
    if (unlike(r, before) > 1 || unlike(before, r) > 1) {
      broken.add("epoch " + r.epoch() + " changes more than one member");
    }
    if (accepted(r, Stream.concat(r.backups().stream(), Stream.of(r.primary())).toList())
        <= r.backups().size()) {
      broken.add("epoch " + r.epoch() + " began without its whole group");
    }
    before = r;
  }

  private static long unlike(EpochRecord a, EpochRecord b) {
    return a.members().stream().filter(m -> !b.hasMember(m.diskId())).count();
  }

  private long accepted(EpochRecord r, List<CoreMember> members) {
    fleet.disks.stream().filter(d -> !machines.contains(d)).forEach(machines::add);
    return members.stream()
        .filter(
            m ->
                machines.stream()
                    .anyMatch(
                        n ->
                            n.disk.id.equals(m.diskId())
                                && n.disk.read().stream()
                                    .anyMatch(
                                        f ->
                                            f.kind().equals("accept")
                                                && f.nested("record").number("epoch")
                                                    >= r.epoch())))
        .count();
  }
}
