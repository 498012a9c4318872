package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.message.EpochMessage;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.WireRecord;

/** Every message type has its handler, and a malformed message does no harm. */
class EpochMessageDispatcherTest {
  private final ManualRuntime runtime = new ManualRuntime();
  private final CoreMember self = new CoreMember("disk1", "m1", "m1", "z");

  @Test
  void givenEveryMessageType_whenDispatched_thenItHasHandler() {
    EpochContext context =
        new EpochContext(
            runtime,
            EpochTimeouts.standard(),
            self,
            new ReplicatedState(1),
            FaultTolerance.ofMachines(1));
    EpochTransitions transitions = new EpochTransitions(context, runtime);
    EpochMessageDispatcher dispatcher =
        new EpochMessageDispatcher(
            transitions,
            new Witness(context, transitions),
            new SnapshotInstaller(context, transitions));
    for (Class<?> type : EpochMessage.class.getPermittedSubclasses()) {
      assertTrue(dispatcher.handles(type), type::getName);
    }
  }

  @Test
  void givenMalformedMessage_whenReceived_thenItIsLoggedAndDropped() {
    EpochReplica replica =
        new EpochReplica(
            runtime,
            EpochTimeouts.standard(),
            runtime,
            self,
            new ReplicatedState(1),
            FaultTolerance.ofMachines(1));

    boolean ofFamily = replica.onMessage("m2", new WireRecord("prep").with("epoch", 64));

    assertTrue(ofFamily);
    assertEquals(List.of(), runtime.sent());
    assertEquals(
        List.of("event=malformed_message from=m2 cause=kind prep lacks the required field to"),
        runtime.events());
    assertFalse(replica.onMessage("m2", new WireRecord("poll")));
  }
}
