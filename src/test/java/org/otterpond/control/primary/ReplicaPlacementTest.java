package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.ReconfigureGroupReply;
import org.otterpond.control.message.ReconfigureGroupRequest;
import org.otterpond.control.message.RetireNodeReply;
import org.otterpond.control.message.RetireNodeRequest;
import org.otterpond.control.message.RetirementStatusReply;
import org.otterpond.control.message.RetirementStatusRequest;
import org.otterpond.control.state.Assignments;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** Placement, reconfiguration and retirement over assignments that are committed at once. */
class ReplicaPlacementTest implements AssignmentState {
  private static final int FAULTS = 1;

  private final ManualRuntime runtime = new ManualRuntime();
  private final Assignments assignments = new Assignments();
  private final AvoidedMembers avoided = new AvoidedMembers();
  private final ReplicaPlacement placement =
      new ReplicaPlacement(runtime, FAULTS, 0, this, avoided);
  private final NodeRetirement retirement =
      new NodeRetirement(runtime, this, result -> result.accept(true), placement.replicas());
  private final GroupReconfiguration reconfiguration =
      new GroupReconfiguration(
          runtime,
          this,
          result -> result.accept(true),
          avoided,
          member -> false,
          placement::stepSoon);
  private final List<PrimaryReply> replies = new ArrayList<>();

  @Override
  public Assignments replicated() {
    return assignments;
  }

  @Override
  public Assignments committed() {
    return assignments;
  }

  @Override
  public AssignmentWriter writer() {
    return (WireRecord entry, Runnable done) -> {
      assignments.apply(entry);
      done.run();
      return true;
    };
  }

  private List<StorageNode> nodes(int count) {
    List<StorageNode> nodes = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      nodes.add(new StorageNode("store" + i, "s" + i + ":1", "s" + i, "z" + i % 2, runtime.now()));
    }
    return nodes;
  }

  private void run(int nodeCount, int seconds) {
    for (int i = 0; i < 5 * seconds; i++) {
      runtime.run(200_000);
      placement.tick(nodes(nodeCount));
    }
  }

  private GroupConfiguration group(int partition) {
    return GroupConfiguration.of(assignments.get(PartitionAssignments.key(partition)));
  }

  @Test
  void givenSettledNodes_whenNoPartitionsExist_thenTheyAreCreatedOverTwoZones() {
    // when
    placement.began();
    run(3, 3);

    // then
    List<GroupConfiguration> groups = PartitionAssignments.all(assignments);
    assertEquals(32, groups.size());
    assertEquals(32, PartitionStatistics.of(assignments).count());
    for (GroupConfiguration group : groups) {
      Set<String> zones = new HashSet<>();
      nodes(3).stream()
          .filter(node -> group.members().contains(node.member()))
          .forEach(node -> zones.add(node.zone()));
      assertEquals(2, zones.size());
    }
  }

  @Test
  void givenPartitions_whenNodeIsLost_thenItsReplicasAreWantedElsewhere() {
    // given
    placement.began();
    run(3, 3);

    // when
    run(2, 3);

    // then
    String lost = nodes(3).get(2).member();
    assertTrue(
        PartitionAssignments.all(assignments).stream()
            .noneMatch(group -> group.wanted().contains(lost)));
  }

  @Test
  void givenUnbalancedLoad_whenBalanced_thenSecondariesMoveWithinTheirZone() {
    // given
    List<StorageNode> nodes = nodes(4);
    List<GroupConfiguration> groups = new ArrayList<>();
    Map<String, Integer> load = new HashMap<>();
    nodes.forEach(node -> load.put(node.member(), 0));
    for (int i = 0; i < 8; i++) {
      List<String> members = List.of(nodes.get(0).member(), nodes.get(1).member());
      groups.add(new GroupConfiguration(i, 1, members.get(0), members.subList(1, 2), members));
      members.forEach(member -> load.merge(member, 1, Integer::sum));
    }

    // when
    List<GroupConfiguration> moved = new ReplicaBalancer(nodes, load).moves(groups);

    // then
    assertEquals(3, moved.size());
    for (GroupConfiguration group : moved) {
      assertEquals(List.of(nodes.get(0).member(), nodes.get(3).member()), group.wanted());
    }
  }

  @Test
  void givenGroup_whenNextVersionIsProposedTwice_thenTheFirstIsInstalled() {
    // given
    placement.began();
    run(3, 3);
    GroupConfiguration current = group(0);
    String removed = current.secondaries().get(0);
    GroupConfiguration proposed = current.withoutSecondary(removed);
    GroupConfiguration installed = current.accept(proposed, member -> false).orElseThrow();

    // when
    reconfiguration.reconfigure(new ReconfigureGroupRequest(proposed), replies::add);
    reconfiguration.reconfigure(new ReconfigureGroupRequest(proposed), replies::add);

    // then
    assertEquals(
        List.of(
            new ReconfigureGroupReply(true, installed),
            new ReconfigureGroupReply(false, installed)),
        replies);
    assertEquals(proposed.members(), installed.members());
    assertEquals(List.of(removed), installed.eligible());
    assertTrue(avoided.contains(0, removed));
  }

  @Test
  void givenOnlyAvoidedNodesAreLeft_whenGroupIsNotFullyReplicated_thenTheyAreWantedAgain() {
    // given
    placement.began();
    run(3, 3);
    GroupConfiguration current = group(0);
    GroupConfiguration alone = current.withoutSecondary(current.secondaries().get(0));
    nodes(3).stream()
        .filter(node -> !alone.has(node.member()))
        .forEach(node -> avoided.add(0, node.member(), runtime.now()));

    // when
    reconfiguration.reconfigure(new ReconfigureGroupRequest(alone), replies::add);
    run(3, 2);

    // then
    assertEquals(FAULTS + 1, group(0).wanted().size());
  }

  @Test
  void givenThreeNodes_whenOneIsRetired_thenItIsCompletedOnceItHasNoReplicas() {
    // given
    placement.began();
    run(3, 3);

    // when
    retirement.retire(new RetireNodeRequest("s3"), nodes(3), replies::add);
    retirement.retire(new RetireNodeRequest("nobody"), nodes(3), replies::add);
    retirement.retire(new RetireNodeRequest("s2"), nodes(3), replies::add);
    retirement.status(new RetirementStatusRequest("s3"), replies::add);
    retirement.status(new RetirementStatusRequest("s1"), replies::add);

    // then
    assertEquals(
        List.of(
            new RetireNodeReply(RetireNodeReply.ACCEPTED),
            new RetireNodeReply(RetireNodeReply.UNKNOWN_NODE),
            new RetireNodeReply(RetireNodeReply.TOO_FEW_NODES),
            new RetirementStatusReply(true, false),
            new RetirementStatusReply(false, false)),
        replies);
    run(3, 1);
    String retired = nodes(3).get(2).member();
    assertFalse(group(0).wanted().contains(retired));
  }
}
