package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.message.AcceptRequest;
import org.otterpond.control.epoch.message.Ping;
import org.otterpond.control.epoch.message.PrepareRequest;
import org.otterpond.control.epoch.message.ReplicateRequest;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/** A member contradicts nothing that it promised, and answers only what is durable. */
class WitnessTest {
  private static final String FLEET = "fleet";
  private static final List<CoreMember> MEMBERS =
      List.of(
          new CoreMember("disk1", "m1", "m1", "z"),
          new CoreMember("disk2", "m2", "m2", "z"),
          new CoreMember("disk3", "m3", "m3", "z"));

  private final ManualRuntime runtime = new ManualRuntime();
  private EpochReplica replica;

  private static EpochRecord record(long epoch) {
    return new EpochRecord(
        FLEET, epoch, MEMBERS.get(0), List.of(MEMBERS.get(1)), MEMBERS, MEMBERS.size());
  }

  private static PrepareRequest prepare(long epoch, long baseEpoch) {
    return new PrepareRequest(epoch, "disk2", FLEET, baseEpoch, "m3");
  }

  private static AcceptRequest accept(long epoch) {
    return new AcceptRequest(record(epoch), "disk2", "m1");
  }

  private static ReplicateRequest replicate(long epoch) {
    WireRecord entry = new WireRecord("claim").with("key", "k").with("token", "t");
    return new ReplicateRequest(epoch, 1, List.of(entry));
  }

  @BeforeEach
  void memberThatFollowsEpochOne() {
    replica =
        new EpochReplica(
            runtime,
            EpochTimeouts.standard(),
            runtime,
            MEMBERS.get(1),
            new ReplicatedState(60_000_000),
            FaultTolerance.ofMachines(1));
    replica.acceptFirstRecord(record(1));
    runtime.run(0);
    runtime.sent().clear();
  }

  /** What is sent at once, before any write is durable. */
  private List<WireRecord> sentAtOnce(Encodable message) {
    runtime.sent().clear();
    replica.onMessage("m1", message.toWireRecord());
    return List.copyOf(runtime.sent());
  }

  private WireRecord response(Encodable message) {
    sentAtOnce(message);
    runtime.run(0);
    assertEquals(1, runtime.sent().size(), () -> runtime.sent().toString());
    return runtime.sent().get(0);
  }

  @Test
  void givenNewerEpoch_whenPrepareIsRequested_thenPromiseIsSentOnceDurable() {
    assertEquals(List.of(), sentAtOnce(prepare(64, 1)));
    runtime.run(0);
    assertEquals("prom", runtime.sent().get(0).kind());
  }

  @Test
  void givenPromise_whenPrepareOfLowerEpochIsRequested_thenItIsRejected() {
    response(prepare(64, 1));
    WireRecord response = response(prepare(63, 1));
    assertEquals("nack", response.kind());
    assertEquals(64, response.number("promised"));
  }

  @Test
  void givenNewerAcceptedRecord_whenPrepareGoesOnFromOlderOne_thenItIsRejected() {
    response(accept(64));
    assertEquals("nack", response(prepare(128, 1)).kind());
  }

  @Test
  void givenPromise_whenRecordOfLowerEpochIsToBeAccepted_thenItIsRejected() {
    response(prepare(64, 1));
    assertEquals("nack", response(accept(63)).kind());
    assertEquals(1, replica.record().epoch());
  }

  @Test
  void givenRecordOfPromisedEpoch_whenToBeAccepted_thenAcceptanceIsSentOnceDurable() {
    response(prepare(64, 1));
    assertEquals(List.of(), sentAtOnce(accept(64)));
    runtime.run(0);
    assertEquals("accd", runtime.sent().get(0).kind());
    assertEquals(64, replica.record().epoch());
  }

  @Test
  void givenRequestForAnotherDisk_whenReceived_thenItIsIgnored() {
    assertEquals(List.of(), sentAtOnce(new PrepareRequest(64, "wiped", FLEET, 1, "m3")));
    assertEquals(List.of(), sentAtOnce(new AcceptRequest(record(64), "wiped", "m1")));
    runtime.run(0);
    assertEquals(List.of(), runtime.sent());
  }

  @Test
  void givenPromiseOfNewerEpoch_whenPinged_thenPongDoesNotConfirmThePrimary() {
    Ping ping = new Ping(1, FLEET, 5);
    assertTrue(response(ping).has("at"));
    response(prepare(64, 1));
    assertFalse(response(ping).has("at"));
  }

  @Test
  void givenPromiseOfNewerEpoch_whenBatchComes_thenItIsRejected() {
    response(prepare(64, 1));
    assertEquals("repno", response(replicate(1)).kind());
    assertEquals(0, replica.hold().keyLockCount());
  }

  @Test
  void givenBatch_whenReplicated_thenItIsAcknowledgedOnceDurable() {
    assertEquals(List.of(), sentAtOnce(replicate(1)));
    runtime.run(0);
    assertEquals("rack", runtime.sent().get(0).kind());
  }

  @Test
  void givenReplicatedBatches_whenFirstIsSentAgain_thenItIsAcknowledgedAndNotApplied() {
    response(replicate(1));
    WireRecord release = new WireRecord("free").with("key", "k").with("token", "t");
    response(new ReplicateRequest(1, 2, List.of(release)));
    assertEquals("rack", response(replicate(1)).kind());
    assertEquals(0, replica.hold().keyLockCount());
  }
}
