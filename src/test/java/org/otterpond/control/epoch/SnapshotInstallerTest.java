package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.message.FormerAuthority;
import org.otterpond.control.epoch.message.SnapshotChunk;
import org.otterpond.control.epoch.message.SnapshotChunkRequest;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/** A snapshot replaces the state when it is complete, and is answered when it is durable. */
class SnapshotInstallerTest {
  private static final long FIRST_SNAPSHOT = 7;
  private static final long SECOND_SNAPSHOT = 8;

  private final ManualRuntime runtime = new ManualRuntime();
  private final byte[] packed = packedState();
  private EpochReplica replica;

  private static byte[] packedState() {
    ReplicatedState state = new ReplicatedState(60_000_000);
    state.apply(new WireRecord("claim").with("key", "k").with("token", "t"), 0);
    return CompressedPayload.pack(state.snapshot());
  }

  @BeforeEach
  void emptyMember() {
    replica =
        new EpochReplica(
            runtime,
            EpochTimeouts.standard(),
            runtime,
            new CoreMember("disk2", "m2", "m2", "z"),
            new ReplicatedState(60_000_000),
            FaultTolerance.ofMachines(1));
  }

  /** Sends one of two chunks; returns what is sent at once, before any write is durable. */
  private List<WireRecord> receive(long snapshotNumber, int index) {
    int half = packed.length / 2;
    byte[] content =
        index == 0 ? Arrays.copyOf(packed, half) : Arrays.copyOfRange(packed, half, packed.length);
    runtime.sent().clear();
    replica.onMessage(
        "m1",
        new SnapshotChunkRequest(
                new SnapshotChunk(snapshotNumber, index, 2, content),
                64,
                "disk2",
                new FormerAuthority(0, 0),
                "m1")
            .toWireRecord());
    return List.copyOf(runtime.sent());
  }

  private static List<String> kinds(List<WireRecord> messages) {
    return messages.stream().map(WireRecord::kind).toList();
  }

  @Test
  void givenChunkOfOneSnapshot_whenNextIsOfAnother_thenTheyAreNotCombined() {
    receive(FIRST_SNAPSHOT, 0);
    List<WireRecord> sent = receive(SECOND_SNAPSHOT, 1);
    assertEquals(List.of("snapheld"), kinds(sent));
    assertEquals(0, sent.get(0).number("held"));
    assertEquals(0, replica.hold().keyLockCount());
  }

  @Test
  void givenIncompleteSnapshot_whenNothingFollows_thenStateStays() {
    assertEquals(List.of("snapheld"), kinds(receive(FIRST_SNAPSHOT, 0)));
    assertEquals(0, replica.hold().keyLockCount());
  }

  @Test
  void givenCompleteSnapshot_whenWritten_thenInstallationIsAnsweredOnceDurable() {
    receive(FIRST_SNAPSHOT, 0);
    assertEquals(List.of("snapheld"), kinds(receive(FIRST_SNAPSHOT, 1)));
    assertEquals(1, replica.hold().keyLockCount());
    runtime.run(0);
    assertEquals(List.of("snapheld", "snapok"), kinds(runtime.sent()));
  }
}
