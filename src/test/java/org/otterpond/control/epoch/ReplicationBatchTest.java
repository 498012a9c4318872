package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.CoreMember;

/** A batch is committed only when this node and each backup hold it durably. */
class ReplicationBatchTest {
  private final List<CoreMember> backups =
      List.of(new CoreMember("disk2", "m2", "m2", "z"), new CoreMember("disk3", "m3", "m3", "z"));
  private final ReplicationBatch batch = new ReplicationBatch();

  @Test
  void givenBatchDurableOnSomeBackups_whenAsked_thenItIsNotCommitted() {
    batch.markDurableHere();
    batch.markDurableOn("disk2");
    assertFalse(batch.isCommitted(backups));
  }

  @Test
  void givenBatchDurableOnBackupsOnly_whenAsked_thenItIsNotCommitted() {
    batch.markDurableOn("disk2");
    batch.markDurableOn("disk3");
    assertFalse(batch.isCommitted(backups));
  }

  @Test
  void givenBatchDurableOnWholeGroup_whenAsked_thenItIsCommitted() {
    batch.markDurableOn("disk2");
    batch.markDurableOn("disk3");
    batch.markDurableHere();
    assertTrue(batch.isCommitted(backups));
  }
}
