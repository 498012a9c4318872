package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/** A record whose write was refused is vouched for by no later write that went well. */
class RefusedDiskWriteTest {
  @Test
  void acceptThatWasRefusedIsNotAnsweredWhenAskedAgainBeforeTheDiskHoldsIt() {
    BandwidthLimitedCore c = new BandwidthLimitedCore(3, 1, 1000);
    BandwidthLimitedCore.Member m = c.members.get("m3");
    EpochRecord r = c.leader().watch.record();
    EpochRecord next =
        new EpochRecord(r.fleet(), r.epoch() + 500, r.primary(), r.backups(), r.members(), 3);
    int[] answers = {0};
    c.lost =
        (to, f) -> {
          answers[0] += f.kind().equals("accd") ? 1 : 0;
          return true;
        };
    WireRecord accept =
        new WireRecord("acc")
            .with("record", next.toWireRecord())
            .with("to", "disk3")
            .with("from", "m1");
    m.refusals = 1;
    m.watch.onMessage("m1", accept);
    c.run(10_000);
    m.watch.onMessage("m1", accept);
    c.run(10_000);
    assertEquals(0, answers[0]);
    c.run(700_000);
    m.watch.onMessage("m1", accept);
    c.run(10_000);
    assertEquals(1, answers[0]);
    m.kill();
    m.start();
    assertEquals(next.epoch(), m.watch.record().epoch());
  }
}
