package org.otterpond.cargo;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The bound on second attempts, over any sliding window and the sum of the members. */
class RetryPurseTest {
    private static final int NODES = 15;
    private static final double RATIO = 0.2;
    private static final double SLACK = 64;
    private static final long WINDOW = 10_000;

    @Test
    void sumOfAllNodesKeepsTheBoundWhateverTheTrafficDoes() {
        long seed = 7;
        System.out.println("purse seed=" + seed);
        Random r = new Random(seed);
        RetryPurse[] purses = new RetryPurse[NODES];
        for (int i = 0; i < NODES; i++) {
            purses[i] = new RetryPurse();
        }
        ArrayDeque<long[]> window = new ArrayDeque<>();
        long requests = 0;
        long retries = 0;
        long spent = 0;
        for (long ms = 0; ms < 120_000; ms++) {
            // Floods, droughts and nodes that begin again, with every chance to retry taken.
            int arrivals = ms / 7_000 % 3 == 0 ? r.nextInt(6) : r.nextInt(200) == 0 ? 1 : 0;
            int tried = 0;
            for (int a = 0; a < arrivals; a++) {
                purses[r.nextInt(NODES)].earn(RATIO * 0.9, SLACK / (2.0 * NODES));
            }
            for (RetryPurse p : purses) {
                while (r.nextInt(4) > 0 && p.spend()) {
                    tried++;
                }
            }
            if (r.nextInt(3_000) == 0) {
                purses[r.nextInt(NODES)] = new RetryPurse();
            }
            window.addLast(new long[] {ms, arrivals, tried});
            requests += arrivals;
            retries += tried;
            spent += tried;
            while (window.peekFirst()[0] <= ms - WINDOW) {
                requests -= window.peekFirst()[1];
                retries -= window.pollFirst()[2];
            }
            assertTrue(retries <= RATIO * requests + SLACK, "at " + ms + ": " + retries + " of " + requests);
        }
        assertTrue(spent > 100, "the purses were used");
    }

    @Test
    void newPurseIsEmpty() {
        assertFalse(new RetryPurse().spend());
    }
}
