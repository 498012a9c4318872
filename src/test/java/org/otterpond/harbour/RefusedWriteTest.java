package org.otterpond.harbour;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.otterpond.signal.Flag;

/** A record whose write was refused is vouched for by no later write that went well. */
class RefusedWriteTest {
  @Test
  void acceptThatWasRefusedIsNotAnsweredWhenAskedAgainBeforeTheDiskHoldsIt() {
    NarrowCore c = new NarrowCore(3, 1, 1000);
    NarrowCore.Member m = c.members.get("m3");
    EpochRecord r = c.leader().watch.record();
    EpochRecord next =
        new EpochRecord(r.fleet(), r.epoch() + 500, r.primary(), r.backups(), r.members(), 3);
    int[] answers = {0};
    c.lost =
        (to, f) -> {
          answers[0] += f.kind().equals("accd") ? 1 : 0;
          return true;
        };
    Flag accept =
        new Flag("acc").with("record", next.toFlag()).with("to", "disk3").with("from", "m1");
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
