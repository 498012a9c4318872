package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;
import static org.otterpond.control.agent.WorkerRosterTest.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerState;
import org.otterpond.protocol.WireRecord;

class HeartbeatForwarderTest {
  private final RecordingRuntime runtime = new RecordingRuntime();
  private final List<Boolean> acknowledgements = new ArrayList<>();
  private boolean outOfTouch;
  private final WorkerRoster roster = new WorkerRoster(runtime, changed -> {});
  private final ForwardedRequests requests = new ForwardedRequests(runtime, () -> "p", 0);
  private final HeartbeatForwarder forwarder =
      new HeartbeatForwarder(runtime, roster, requests, () -> outOfTouch);

  private void heartbeat(String id, WorkerState state, long sequence) {
    forwarder.onHeartbeat(worker(id, state, sequence), acknowledgements::add);
  }

  @Test
  void firstHeartbeatIsForwardedAtOnceAndLaterOnesInBatches() {
    heartbeat("w1", WorkerState.IN_SERVICE, 1);
    heartbeat("w2", WorkerState.IN_SERVICE, 1);
    assertEquals(2, runtime.takeSent().size());

    heartbeat("w1", WorkerState.IN_SERVICE, 2);
    heartbeat("w2", WorkerState.IN_SERVICE, 2);
    assertTrue(runtime.takeSent().isEmpty());
    runtime.run(250 * MILLIS);

    WireRecord batch = runtime.takeOnlySent().message();
    assertEquals("beats", batch.text("op"));
    assertEquals(2, batch.records("beats").size());
    assertEquals(List.of(true, true, true, true), acknowledgements);
  }

  @Test
  void heartbeatIsNotAcknowledgedByNodeOutOfTouch() {
    outOfTouch = true;

    heartbeat("w1", WorkerState.IN_SERVICE, 1);

    assertEquals(List.of(false), acknowledgements);
    assertNull(roster.get("w1"));
  }

  @Test
  void drainingWorkerIsAcknowledgedByThePrimary() {
    heartbeat("w1", WorkerState.DRAINING, 1);
    WireRecord request = runtime.takeOnlySent().message();
    assertTrue(acknowledgements.isEmpty());

    requests.onReply(new WireRecord("reply").with("rid", request.number("rid")));

    assertEquals("beat", request.text("op"));
    assertEquals(List.of(true), acknowledgements);
  }

  @Test
  void targetIsOneOfTheWorkersZoneAndAlwaysTheSameForOneInstance() {
    forwarder.setTargets(Map.of("a1", "east", "a2", "west", "a3", "east"));

    String target = forwarder.target("east", "w1");

    assertTrue(List.of("a1", "a3").contains(target), target);
    assertEquals(target, forwarder.target("east", "w1"));
    assertEquals("a2", forwarder.target("west", "w1"));
    assertTrue(List.of("a1", "a2", "a3").contains(forwarder.target("north", "w1")));
  }

  @Test
  void noTargetIsNamedWhileOutOfTouch() {
    forwarder.setTargets(Map.of("a1", "east"));
    outOfTouch = true;

    assertNull(forwarder.target("east", "w1"));
  }
}
