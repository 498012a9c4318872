package org.otterpond.sim;

/** Cuts a failing schedule down: fewer faults and less time, as long as it fails in the same way. */
final class Shrinker {
    private static final int MOST_RUNS = 150;
    private static final int STEP = 5;

    private int runs;

    Schedule shrink(Schedule failing, Outcome failure) {
        Schedule best = failing;
        boolean shorter = true;
        while (shorter && runs < MOST_RUNS) {
            shorter = false;
            for (int i = best.entries().size() - 1; i >= 0 && runs < MOST_RUNS; i--) {
                Schedule fewer = best.without(i);
                if (fails(fewer, failure)) {
                    best = fewer;
                    shorter = true;
                }
            }
        }
        while (best.seconds() > STEP && runs < MOST_RUNS) {
            Schedule less = best.with(best.entries(), best.seconds() - STEP);
            if (!fails(less, failure)) {
                break;
            }
            best = less;
        }
        return best;
    }

    private boolean fails(Schedule s, Outcome failure) {
        runs++;
        Outcome o = new Simulation(s).run();
        return !o.sound() && o.failsAs(failure);
    }
}
