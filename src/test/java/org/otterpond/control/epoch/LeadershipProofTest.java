package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.message.MemberStatus;
import org.otterpond.control.epoch.message.Pong;
import org.otterpond.control.state.CoreMember;

/** A proof of leadership needs an answer of every backup to a ping sent after the request. */
class LeadershipProofTest {
  private final BandwidthLimitedCore core = new BandwidthLimitedCore(5, 2, 1000);
  private final BandwidthLimitedCore.Member primary = core.leader();
  private final List<Boolean> results = new ArrayList<>();

  private void pong(int backup, long pingSentAtMicros) {
    CoreMember sender = primary.replica.record().backups().get(backup);
    long epoch = primary.replica.record().epoch();
    Pong pong =
        new Pong(
            OptionalLong.of(pingSentAtMicros),
            new MemberStatus(sender.diskId(), false, false),
            epoch,
            OptionalLong.of(epoch),
            null);
    primary.replica.onMessage(sender.address(), pong.toWireRecord());
  }

  private void requestProofWithoutAnswers() {
    core.isLost = (to, message) -> true;
    core.run(10_000);
    primary.replica.confirm(results::add);
  }

  @Test
  void givenRequest_whenBackupsAnswerAnEarlierPing_thenNothingIsProved() {
    requestProofWithoutAnswers();
    pong(0, primary.now() - 1);
    pong(1, primary.now() - 1);
    assertEquals(List.of(), results);
  }

  @Test
  void givenRequest_whenOneBackupHasNotAnswered_thenNothingIsProved() {
    requestProofWithoutAnswers();
    pong(0, primary.now());
    assertEquals(List.of(), results);
  }

  @Test
  void givenRequest_whenEveryBackupAnswersLaterPing_thenLeadershipIsProved() {
    requestProofWithoutAnswers();
    pong(0, primary.now());
    pong(1, primary.now());
    assertEquals(List.of(true), results);
  }

  @Test
  void givenRequest_whenNobodyAnswersInTime_thenItIsDenied() {
    requestProofWithoutAnswers();
    core.run(1_000_000);
    assertEquals(List.of(false), results);
  }
}
