package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.KnownVersions;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.PollReports;
import org.otterpond.control.message.PollingNode;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/** Which nodes are chosen to send to a worker in slow start. */
class SlowStartNodeSelectorTest {
  private static final KnownVersions NOTHING = new KnownVersions(0, 0, 0, 0, OptionalLong.empty());

  private final NodeLeaseTable leases = new NodeLeaseTable(new ManualRuntime());
  private final SlowStartNodeSelector selector = new SlowStartNodeSelector(leases);

  private void addNodes(String zone, int count, String storeId) {
    for (int i = 0; i < count; i++) {
      String name = zone + (storeId == null ? "" : "-store") + i;
      String address = name + ":1";
      PollingNode node = new PollingNode(address, name, zone, null, 1, storeId);
      leases.renew(address, new NodePoll(node, NOTHING, 1, true, PollReports.NONE));
    }
  }

  private static WorkerInstance worker(String id) {
    return new WorkerInstance(id, "s", "h:1", "a", "-", 4, WorkerState.IN_SERVICE, 1, 1);
  }

  @Test
  void givenNodesInTheZone_whenSelected_thenTheyAreOfTheZoneAndEvenlyUsed() {
    addNodes("a", 10, null);
    addNodes("b", 10, null);
    Map<String, Integer> uses = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      selector.select(worker("w" + i), true).forEach(node -> uses.merge(node, 1, Integer::sum));
    }
    assertEquals(10, uses.size());
    uses.forEach((node, count) -> assertTrue(node.startsWith("a"), node));
    uses.forEach((node, count) -> assertTrue(count > 10 && count < 60, node + " " + count));
  }

  @Test
  void givenOneNodeInTheZone_whenSelected_thenOthersFillPlaces() {
    addNodes("a", 1, null);
    addNodes("b", 5, null);
    List<String> nodes = selector.select(worker("w"), true);
    assertEquals("a0:1", nodes.get(0));
    assertEquals(3, Set.copyOf(nodes).size());
  }

  @Test
  void givenStorageNodes_whenSelected_thenOneOfThemHasPlace() {
    addNodes("a", 5, null);
    addNodes("a", 3, "store");
    List<String> nodes = selector.select(worker("w"), true);
    assertEquals(3, nodes.size());
    assertEquals(1, nodes.stream().filter(node -> node.contains("store")).count());
  }

  @Test
  void givenNodesThatJoin_whenSelectedAgain_thenThoseChosenStay() {
    addNodes("a", 4, null);
    List<String> first = selector.select(worker("w"), true);
    addNodes("a", 40, null);
    assertEquals(first, selector.select(worker("w").withSlowStartNodes(first), true));
  }

  @Test
  void givenChosenNodeWithoutLease_whenEarlierLeasesMayRun_thenItKeepsItsPlace() {
    addNodes("a", 4, null);
    WorkerInstance worker = worker("w").withSlowStartNodes(List.of("gone:1", "a0:1", "a1:1"));
    assertEquals(worker.slowStartNodes(), selector.select(worker, false));
    assertTrue(!selector.select(worker, true).contains("gone:1"));
  }
}
