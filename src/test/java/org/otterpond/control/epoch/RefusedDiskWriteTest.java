package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/** A record whose write was refused is not answered after a later write that succeeds. */
class RefusedDiskWriteTest {
  @Test
  void givenRefusedAccept_whenAskedAgainBeforeLogIsComplete_thenItIsNotAnswered() {
    BandwidthLimitedCore core = new BandwidthLimitedCore(3, 1, 1000);
    BandwidthLimitedCore.Member member = core.members.get("m3");
    EpochRecord record = core.leader().replica.record();
    EpochRecord next =
        new EpochRecord(
            record.fleet(),
            record.epoch() + 500,
            record.primary(),
            record.backups(),
            record.members(),
            3);
    int[] answers = {0};
    core.isLost =
        (to, message) -> {
          answers[0] += message.kind().equals("accd") ? 1 : 0;
          return true;
        };
    WireRecord accept =
        new WireRecord("acc")
            .with("record", next.toWireRecord())
            .with("to", "disk3")
            .with("from", "m1");
    member.refusals = 1;
    member.replica.onMessage("m1", accept);
    core.run(10_000);
    member.replica.onMessage("m1", accept);
    core.run(10_000);
    assertEquals(0, answers[0]);
    core.run(700_000);
    member.replica.onMessage("m1", accept);
    core.run(10_000);
    assertEquals(1, answers[0]);
    member.kill();
    member.start();
    assertEquals(next.epoch(), member.replica.record().epoch());
  }
}
