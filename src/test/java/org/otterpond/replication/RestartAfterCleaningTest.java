package org.otterpond.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * Restart of a store whose oldest remaining segment began while it was a candidate: that segment
 * has no header of the group, and the older ones were cleaned away.
 */
class RestartAfterCleaningTest {
  private static final int GROUP = 3;
  private static final String ME = "disk1@10.0.0.1:7600";
  private static final String PRIMARY = "disk2@10.0.0.2:7600";
  private static final GroupConfiguration AS_CANDIDATE =
      new GroupConfiguration(GROUP, 4, PRIMARY, List.of(), List.of(PRIMARY, ME));
  private static final GroupConfiguration AS_MEMBER = AS_CANDIDATE.withSecondary(ME);

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final RecordingStateMachine state = new RecordingStateMachine();
  private final ReplicaGroup replica =
      new ReplicaGroup(GROUP, ME, runtime, ReplicaGroupTimeouts.standard(), state);
  private long logPosition;

  private void replay(Encodable... records) {
    for (Encodable logRecord : records) {
      replica.replay(logRecord.toWireRecord(), logPosition++, 0);
    }
  }

  private static Encodable prepared(long serial, long committedPoint) {
    WireRecord entry = RecordingStateMachine.entry("e" + serial);
    return new GroupLogRecord.EntryPrepared(
        GROUP, AS_CANDIDATE.version(), serial, committedPoint, entry);
  }

  private static Encodable piece(String id) {
    return new GroupLogRecord.PieceLoaded(GROUP, RecordingStateMachine.entry(id));
  }

  private static Encodable header(long committedPoint) {
    return new GroupLogRecord.SegmentHeader(GROUP, committedPoint, AS_MEMBER);
  }

  /** The rest of a transfer and the first entry after it, as the oldest segment begins. */
  private void replaySegmentBegunAsCandidate() {
    replay(piece("p2"), prepared(51, 50));
    replay(new GroupLogRecord.CopyCompleted(AS_CANDIDATE));
    replay(new GroupLogRecord.ConfigurationAdopted(AS_MEMBER), prepared(52, 51));
  }

  @Test
  void givenSegmentBegunAsCandidate_whenLaterHeaderCoversItsStart_thenReplicaIsKept() {
    replaySegmentBegunAsCandidate();
    replay(header(52), piece("p1"), prepared(53, 52));

    replica.replayed();

    assertTrue(replica.isInvolved());
    assertEquals(AS_MEMBER, replica.view());
    assertEquals(52, replica.committed());
    assertEquals(List.of("p2", "e51", "p1", "e52"), state.ids);
  }

  @Test
  void givenSegmentBegunAsCandidate_whenNoHeaderFollows_thenReplicaIsDropped() {
    replaySegmentBegunAsCandidate();

    replica.replayed();

    assertNull(replica.view());
    assertEquals(List.of(), state.ids);
  }

  @Test
  void givenSegmentBegunAsCandidate_whenHeaderIsBelowItsStart_thenReplicaIsDropped() {
    replaySegmentBegunAsCandidate();
    replay(header(49));

    replica.replayed();

    assertNull(replica.view());
  }

  /** A loss of power ended the rewriting of uncommitted entries after the first one. */
  @Test
  void givenUncommittedEntries_whenOnlyTheFirstWasRewritten_thenTheOthersAreKept() {
    replay(header(50), prepared(51, 50), prepared(52, 50), prepared(53, 50), prepared(51, 50));
    replay(prepared(54, 53));

    replica.replayed();

    assertTrue(replica.isInvolved());
    assertEquals(53, replica.committed());
    assertEquals(List.of("e51", "e52", "e53"), state.ids);
  }

  /** A write that the disk refused is missing, whatever a later header says. */
  @Test
  void givenEntryMissingInTheMiddle_whenLaterHeaderCoversIt_thenReplicaIsDropped() {
    replay(header(50), prepared(51, 50), prepared(53, 51), prepared(54, 53), header(54));

    replica.replayed();

    assertNull(replica.view());
  }

  @Test
  void givenFirstEntryMissing_whenLaterHeaderCoversIt_thenReplicaIsDropped() {
    GroupConfiguration first =
        new GroupConfiguration(GROUP, 1, PRIMARY, List.of(ME), List.of(PRIMARY, ME));
    replay(new GroupLogRecord.ConfigurationAdopted(first), prepared(2, 1), header(2));

    replica.replayed();

    assertNull(replica.view());
  }

  @Test
  void givenEntryMissingInAnEarlierTransfer_whenLaterTransferCompletes_thenReplicaIsKept() {
    replay(prepared(51, 50), new GroupLogRecord.CopyStarted(GROUP, 60, false), piece("p1"));
    replay(new GroupLogRecord.CopyCompleted(AS_CANDIDATE));
    replay(new GroupLogRecord.ConfigurationAdopted(AS_MEMBER), prepared(61, 60));

    replica.replayed();

    assertTrue(replica.isInvolved());
    assertEquals(List.of("p1"), state.ids);
    assertEquals(60, replica.committed());
  }

  private void receive(GroupMessage message) {
    replica.onMessage(GroupConfiguration.addressOf(PRIMARY), message.toWireRecord());
  }

  @Test
  void givenFinishedTransfer_whenCandidateBecomesMember_thenLogHasHeader() {
    receive(new CopyStartMessage(GROUP, AS_CANDIDATE, PRIMARY, 1, 50));
    receive(new CopyPiecesMessage(GROUP, 1, 0, true, List.of(RecordingStateMachine.entry("p1"))));
    runtime.answerWrites(true);

    replica.learn(AS_MEMBER);

    WireRecord last = runtime.log.get(runtime.log.size() - 1);
    assertEquals(header(50).toWireRecord().fields(), last.fields());
    assertEquals(GroupLogRecord.SegmentHeader.KIND, last.kind());
  }

  /** A header says that everything up to its committed point is in the log. */
  @Test
  void givenSecondaryWithRefusedWrite_whenSegmentBegins_thenItHasNoHeader() {
    GroupConfiguration first =
        new GroupConfiguration(GROUP, 1, PRIMARY, List.of(ME), List.of(PRIMARY, ME));
    List<WireRecord> entries = List.of(RecordingStateMachine.entry("e1"));
    receive(new ReconcileMessage(GROUP, first, 0, entries));

    runtime.answerWrites(false);

    assertNull(replica.meta());
  }

  /** Its log is all that there is of the group, so it must be found again. */
  @Test
  void givenOnlyMemberWithRefusedWrite_whenSegmentBegins_thenItHasHeader() {
    replica.learn(new GroupConfiguration(GROUP, 1, ME, List.of(), List.of(ME)));
    replica.update(RecordingStateMachine.entry("e1"), false, UpdateListener.NONE);

    runtime.answerWrites(false);

    assertNotNull(replica.meta());
  }
}
