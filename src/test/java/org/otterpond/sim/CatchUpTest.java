package org.otterpond.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.signal.Flag;

/** Members that were away: how soon they hold what all hold, and that they never go on from what they held before. */
class CatchUpTest {
    private static final long S = 1_000_000;

    private static SimFleet founded(long seed, int disks, int faults) {
        SimFleet f = new SimFleet(seed, disks, 2, faults);
        f.world.run(9 * S);
        assertNotNull(f.leader(), () -> "no leader\n" + f.tail());
        return f;
    }

    private static SimNode backup(SimFleet f) {
        return f.world.nodes.get(f.leader().node.known().backups().get(0).address());
    }

    /** It has forgotten how far it had come, and says so at once: nobody waits for a time-out. */
    @Test
    void backupThatStartsAgainIsABackupAgainAtOnce() {
        for (long seed = 501; seed <= 510; seed++) {
            SimFleet f = founded(seed, 4, 1);
            f.callers();
            f.world.run(2 * S);
            SimNode b = backup(f);
            long epoch = f.leader().node.known().epoch();
            b.kill();
            f.world.run(1_000);
            b.start();
            f.world.run(250_000);
            assertTrue(f.leader() != null && f.leader().node.known().epoch() > epoch, () -> f.tail());
            int before = f.checker.grants;
            f.world.run(S);
            assertTrue(f.checker.grants > before + 20, () -> f.tail());
            assertEquals(List.of(), f.checker.broken, () -> f.tail());
        }
    }

    /** A batch of the epoch that an earlier life may have had already is neither taken nor acknowledged. */
    @Test
    void backupThatStartedAgainAcknowledgesNothingOfTheEpochThatItFollowed() {
        SimFleet f = founded(521, 4, 1);
        f.change(() -> { });
        f.world.run(S);
        SimNode b = backup(f);
        String leader = f.leader().address;
        long epoch = f.leader().node.known().epoch();
        b.kill();
        b.start();
        int records = b.disk.read().size();
        f.world.cut(leader, b.address);
        b.deliver(leader, new Flag("rep").with("epoch", epoch).with("seq", 1).withFlags("entries", List.of(
                new Flag("claim").with("key", "old").with("token", "old").with("holder", "n1:1"))));
        f.world.run(100_000);
        assertEquals(records, b.disk.read().size());
    }
}
