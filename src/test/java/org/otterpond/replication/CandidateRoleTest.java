package org.otterpond.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** A state transfer as the candidate sees it. */
class CandidateRoleTest {
  private static final int GROUP = 3;
  private static final String ME = "disk1@10.0.0.1:7600";
  private static final String PRIMARY = "disk2@10.0.0.2:7600";
  private static final GroupConfiguration CONFIGURATION =
      new GroupConfiguration(GROUP, 4, PRIMARY, List.of(), List.of(PRIMARY, ME));

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final RecordingStateMachine state = new RecordingStateMachine();
  private final ReplicaGroup replica =
      new ReplicaGroup(GROUP, ME, runtime, ReplicaGroupTimeouts.standard(), state);

  private void receive(GroupMessage message) {
    replica.onMessage(GroupConfiguration.addressOf(PRIMARY), message.toWireRecord());
  }

  private void receivePiece(long number, boolean last) {
    List<WireRecord> pieces = List.of(RecordingStateMachine.entry("p" + number));
    receive(new CopyPiecesMessage(GROUP, 1, number, last, pieces));
  }

  private long acknowledgedCopies() throws ProtocolException {
    long copies = 0;
    for (WireRecord sent : runtime.sent) {
      copies += PreparedMessage.of(sent).copyDurable() ? 1 : 0;
    }
    return copies;
  }

  @BeforeEach
  void beginTransfer() {
    receive(new CopyStartMessage(GROUP, CONFIGURATION, PRIMARY, 1, 50));
  }

  @Test
  void givenAllPiecesDurable_whenLastIsWritten_thenCopyIsAcknowledged() throws ProtocolException {
    receivePiece(0, false);
    receivePiece(1, true);

    runtime.answerWrites(true);

    assertEquals(1, acknowledgedCopies());
    assertEquals(List.of("p0", "p1"), state.ids);
  }

  @Test
  void givenMissingPieces_whenLastArrives_thenCopyIsNotAcknowledged() throws ProtocolException {
    receivePiece(1, true);

    runtime.answerWrites(true);

    assertEquals(0, acknowledgedCopies());
  }

  @Test
  void givenRefusedPiece_whenLaterWritesSucceed_thenCopyIsNotAcknowledged()
      throws ProtocolException {
    receivePiece(0, false);
    runtime.answerWrites(false);
    receivePiece(1, true);

    runtime.answerWrites(true);

    assertEquals(0, acknowledgedCopies());
  }
}
