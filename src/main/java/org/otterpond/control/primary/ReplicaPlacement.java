package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.otterpond.control.state.Assignments;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.runtime.NodeRuntime;

/**
 * Places the replicas of the message partitions: creates the partitions once, replaces storage
 * nodes that are silent, retired or avoided, and balances the load of the others. It decides which
 * members a replica group is wanted to have; the group itself takes them in.
 */
public final class ReplicaPlacement {
  /** The prefix of the keys of the partitions' assignments. */
  public static final String PARTITION = "partition:";

  /** Partitions are created, and replicas balanced, once the set of nodes is this long the same. */
  private static final long SETTLED_MICROS = 1_500_000;

  /** A storage node that is silent for this long is replaced. */
  private static final long SILENT_MICROS = 2_100_000;

  private static final long STEP_MICROS = 200_000;

  /** The next step after a group's proposal comes this soon. */
  private static final long STEP_AFTER_PROPOSAL_MICROS = 10_000;

  private static final int MAX_CHANGES_PER_STEP = 24;
  private static final int MIN_PARTITIONS = 32;
  private static final int MAX_PARTITIONS = 1024;
  private static final int PARTITIONS_PER_NODE = 3;
  private static final int MIN_ZONES = 2;

  private final NodeRuntime runtime;
  private final ReplicaSelection selection;
  private final AssignmentState state;
  private final AvoidedMembers avoided;
  private long steppedAtMicros;
  private long nodesChangedAtMicros;
  private Set<String> aliveMembers = Set.of();

  /**
   * Creates the service.
   *
   * @param faults number of machines that may be lost without a loss of messages
   * @param zoneFaults number of zones that may be lost
   */
  ReplicaPlacement(
      NodeRuntime runtime,
      int faults,
      int zoneFaults,
      AssignmentState state,
      AvoidedMembers avoided) {
    this.runtime = runtime;
    this.selection = new ReplicaSelection(faults + 1, Math.max(MIN_ZONES, zoneFaults + 1));
    this.state = state;
    this.avoided = avoided;
  }

  /** Begins an epoch, in which no storage node was seen yet. */
  void began() {
    nodesChangedAtMicros = runtime.now();
    steppedAtMicros = runtime.now();
    aliveMembers = Set.of();
  }

  /** Returns the number of replicas of a group. */
  int replicas() {
    return selection.replicas();
  }

  /** Makes the next step soon, as a group proposed another configuration. */
  void stepSoon() {
    long soon = runtime.now() - STEP_MICROS + STEP_AFTER_PROPOSAL_MICROS;
    steppedAtMicros = Math.min(steppedAtMicros, soon);
  }

  /**
   * Makes the next step if it is due.
   *
   * @param nodes the storage nodes that have a lease
   */
  void tick(List<StorageNode> nodes) {
    long now = runtime.now();
    if (now - steppedAtMicros < STEP_MICROS) {
      return;
    }
    steppedAtMicros = now;
    List<StorageNode> alive =
        nodes.stream().filter(node -> now - node.polledAtMicros() < SILENT_MICROS).toList();
    noteAlive(alive);
    avoided.expire(now);
    Assignments assignments = state.replicated();
    List<GroupConfiguration> groups = PartitionAssignments.all(assignments);
    if (!groups.isEmpty()) {
      repair(groups, NodeRetirement.remaining(alive, assignments));
    } else if (!alive.isEmpty() && areNodesSettled()) {
      createPartitions(alive);
    }
  }

  private void noteAlive(List<StorageNode> alive) {
    Set<String> members = new HashSet<>();
    alive.forEach(node -> members.add(node.member()));
    if (!members.equals(aliveMembers)) {
      aliveMembers = members;
      nodesChangedAtMicros = runtime.now();
    }
  }

  private boolean areNodesSettled() {
    return runtime.now() - nodesChangedAtMicros > SETTLED_MICROS;
  }

  private void createPartitions(List<StorageNode> nodes) {
    int count = MIN_PARTITIONS;
    while (count < nodes.size() * PARTITIONS_PER_NODE && count < MAX_PARTITIONS) {
      count *= 2;
    }
    Map<String, Integer> load = new HashMap<>();
    Map<String, Integer> primaries = new HashMap<>();
    for (int partition = 0; partition < count; partition++) {
      List<StorageNode> chosen = selection.fill(List.of(), nodes, load);
      chosen.sort(Comparator.comparingInt(node -> primaries.getOrDefault(node.member(), 0)));
      List<String> members = chosen.stream().map(StorageNode::member).toList();
      members.forEach(member -> load.merge(member, 1, Integer::sum));
      String primary = members.get(0);
      primaries.merge(primary, 1, Integer::sum);
      List<String> secondaries = members.subList(1, members.size());
      GroupConfiguration group =
          new GroupConfiguration(partition, 1, primary, secondaries, members);
      write(group.withReplicationFactor(selection.replicas()), count);
    }
    runtime.event(
        "event=partitions_created count="
            + count
            + " stores="
            + nodes.size()
            + " copies="
            + selection.replicas());
  }

  /** Replaces members that are not usable any more; if there are none, balances the load. */
  private void repair(List<GroupConfiguration> groups, List<StorageNode> nodes) {
    if (nodes.isEmpty()) {
      return;
    }
    Map<String, StorageNode> nodesByMember = new HashMap<>();
    nodes.forEach(node -> nodesByMember.put(node.member(), node));
    Map<String, Integer> load = loadOf(groups, nodes);
    int changes = 0;
    boolean moving = false;
    for (GroupConfiguration stored : groups) {
      GroupConfiguration group = withPresentFactor(stored, groups.size());
      List<StorageNode> kept = usableMembers(group, nodesByMember);
      if (isComplete(group, kept, nodes)) {
        moving |= !Set.copyOf(group.members()).equals(Set.copyOf(group.wanted()));
        continue;
      }
      moving = true;
      if (changes < MAX_CHANGES_PER_STEP && replace(group, kept, nodes, load, groups.size())) {
        changes++;
      }
    }
    if (!moving && areNodesSettled()) {
      new ReplicaBalancer(nodes, load).moves(groups).forEach(group -> write(group, groups.size()));
    }
  }

  /**
   * A group of an earlier version of the program, or of other settings, gets the factor in force.
   */
  private GroupConfiguration withPresentFactor(GroupConfiguration group, int partitionCount) {
    if (group.replicationFactor() == selection.replicas()) {
      return group;
    }
    GroupConfiguration changed = group.withReplicationFactor(selection.replicas());
    write(changed, partitionCount);
    return changed;
  }

  private static Map<String, Integer> loadOf(
      List<GroupConfiguration> groups, List<StorageNode> nodes) {
    Map<String, Integer> load = new HashMap<>();
    nodes.forEach(node -> load.put(node.member(), 0));
    groups.forEach(group -> group.wanted().forEach(member -> load.merge(member, 1, Integer::sum)));
    return load;
  }

  private List<StorageNode> usableMembers(
      GroupConfiguration group, Map<String, StorageNode> nodesByMember) {
    List<StorageNode> usable = new ArrayList<>();
    for (String member : group.wanted()) {
      if (nodesByMember.containsKey(member) && !avoided.contains(group.group(), member)) {
        usable.add(nodesByMember.get(member));
      }
    }
    return usable;
  }

  private boolean isComplete(
      GroupConfiguration group, List<StorageNode> usable, List<StorageNode> nodes) {
    return usable.size() == group.wanted().size()
        && usable.size() >= Math.min(selection.replicas(), nodes.size());
  }

  /** Wants other members for a group; returns whether there are any. */
  private boolean replace(
      GroupConfiguration group,
      List<StorageNode> kept,
      List<StorageNode> nodes,
      Map<String, Integer> load,
      int partitionCount) {
    List<StorageNode> candidates =
        nodes.stream().filter(node -> !avoided.contains(group.group(), node.member())).toList();
    if (candidates.size() < selection.replicas()) {
      // Without the avoided ones the group could not be fully replicated.
      candidates = nodes;
    }
    List<String> wanted =
        selection.fill(kept, candidates, load).stream().map(StorageNode::member).toList();
    // A silent node stays wanted where no other can take its place.
    if (wanted.isEmpty() || Set.copyOf(wanted).equals(Set.copyOf(group.wanted()))) {
      return false;
    }
    wanted.stream()
        .filter(member -> !group.wanted().contains(member))
        .forEach(member -> load.merge(member, 1, Integer::sum));
    write(group.withWantedMembers(wanted), partitionCount);
    return true;
  }

  private void write(GroupConfiguration group, int partitionCount) {
    state.writer().assign(PartitionAssignments.entry(group, partitionCount), () -> {});
  }
}
