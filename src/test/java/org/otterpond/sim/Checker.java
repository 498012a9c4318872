package org.otterpond.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds what was seen from outside against the rules; knows nothing of how the nodes work. */
final class Checker {
    static final long WINDOW = 60_000_000;

    private final SimWorld world;
    final List<String> broken = new ArrayList<>();
    private final Map<Long, String> leaderOf = new HashMap<>();
    private final Map<Long, Long> forceOfLife = new HashMap<>();
    private final Map<Long, Long> acknowledgedOn = new HashMap<>();
    private final Set<Long> refused = new HashSet<>();
    private final Set<Long> sent = new HashSet<>();
    private long newestAcknowledged;
    private final Map<String, Run> runs = new HashMap<>();
    int grants;
    int acknowledgements;

    private record Run(String token, long at) {}

    Checker(SimWorld world) {
        this.world = world;
    }

    private void breach(String what) {
        broken.add(world.now() / 1000 + " " + what);
    }

    void started(String node, long life) {
        forceOfLife.put(life, 0L);
    }

    void leads(String node, long epoch) {
        String other = leaderOf.putIfAbsent(epoch, node);
        if (other != null && !other.equals(node)) {
            breach("two leaders in epoch " + epoch + ": " + other + " and " + node);
        }
    }

    void inForce(String node, long life, long revision) {
        long before = forceOfLife.getOrDefault(life, 0L);
        if (revision <= before) {
            breach(node + " went back from " + before + " to " + revision);
        }
        if (refused.contains(revision) || !sent.contains(revision)) {
            breach(node + " serves " + revision + ", which was refused or never sent");
        }
        forceOfLife.put(life, revision);
    }

    void sent(long revision) {
        sent.add(revision);
    }

    void acknowledged(long base, long revision) {
        acknowledgements++;
        Long other = acknowledgedOn.putIfAbsent(base, revision);
        if (other != null && other != revision) {
            breach("two changes acknowledged on " + base + ": " + other + " and " + revision);
        }
        newestAcknowledged = Math.max(newestAcknowledged, revision);
    }

    void refused(long revision) {
        refused.add(revision);
    }

    void readBack(long askedAfter, long revision) {
        if (revision < askedAfter) {
            breach("read " + revision + " though " + askedAfter + " had been acknowledged");
        }
    }

    long newestAcknowledged() {
        return newestAcknowledged;
    }

    void ran(String key, String token) {
        grants++;
        Run before = runs.put(key, new Run(token, world.now()));
        if (before != null && !before.token().equals(token) && world.now() - before.at() < WINDOW) {
            breach("key " + key + " ran twice");
        }
    }

    void disowned(String key, String token) {
        Run r = runs.get(key);
        if (r != null && r.token().equals(token)) {
            runs.remove(key);
        }
    }
}
