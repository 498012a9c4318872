package org.otterpond.lookout;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The potential-action statistic over one balancer's own vector of requests in flight, with the minorizing rule.
 *
 * <p>Each sample is the distribution a new request would have been routed by: equal shares over the least loaded.
 * A worker k is flagged when its mean share over the window is below (1 - gamma) times every other's, smoothed over
 * several windows in a row. Sampling counts only moments at which the balancer had a choice to make, that is, at
 * which at least one worker was busier than the least loaded: at rest every share is equal and says nothing.
 */
public final class Lookout {
    private final int window;
    private final double gamma;
    private final int confirm;

    private final ArrayDeque<Map<String, Double>> samples = new ArrayDeque<>();
    private final Map<String, Double> sums = new HashMap<>();
    private Set<String> members = new HashSet<>();
    private String candidate;
    private int agreed;

    public Lookout(int window, double alphaMax, int confirm) {
        if (window < 1 || confirm < 1 || !(alphaMax > 0 && alphaMax < 0.9)) {
            throw new IllegalArgumentException("window, smoothing or smallest slowdown out of range");
        }
        this.window = window;
        this.gamma = gammaFor(alphaMax);
        this.confirm = confirm;
    }

    /** The paper's default margin for the smallest slowdown of interest. */
    public static double gammaFor(double alphaMax) {
        return (1 - 1.1 * alphaMax) / 2;
    }

    /** Takes one sample: requests in flight per worker, each divided by the worker's weight. */
    public void sample(Map<String, Double> load) {
        if (!load.keySet().equals(members)) {
            // Joining, leaving and warming workers change what each share should be: begin anew.
            reset(load.keySet());
        }
        double least = Double.MAX_VALUE;
        double most = 0;
        for (double q : load.values()) {
            least = Math.min(least, q);
            most = Math.max(most, q);
        }
        if (load.size() < 3 || most <= least) {
            return;
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        final double floor = least;
        long ties = load.values().stream().filter(q -> q <= floor).count();
        load.forEach((id, q) -> {
            if (q <= floor) {
                shares.put(id, 1.0 / ties);
            }
        });
        samples.addLast(shares);
        shares.forEach((id, s) -> sums.merge(id, s, Double::sum));
        if (samples.size() > window) {
            samples.removeFirst().forEach((id, s) -> sums.merge(id, -s, Double::sum));
        }
        judge();
    }

    private void reset(Set<String> now) {
        members = new HashSet<>(now);
        samples.clear();
        sums.clear();
        candidate = null;
        agreed = 0;
    }

    private void judge() {
        String found = samples.size() < window ? null : minorized();
        if (found != null && found.equals(candidate)) {
            agreed++;
        } else {
            candidate = found;
            agreed = found == null ? 0 : 1;
        }
    }

    private String minorized() {
        String lowest = null;
        double low = Double.MAX_VALUE;
        double next = Double.MAX_VALUE;
        for (String id : members) {
            double h = Math.max(0, sums.getOrDefault(id, 0.0)) / samples.size();
            if (h < low) {
                next = low;
                low = h;
                lowest = id;
            } else if (h < next) {
                next = h;
            }
        }
        return low < (1 - gamma) * next ? lowest : null;
    }

    public Verdict verdict() {
        return new Verdict(agreed >= confirm ? candidate : null, samples.size());
    }

    /** The mean share of a worker over the window, for those who look into a flag. */
    public double share(String id) {
        return samples.isEmpty() ? 0 : Math.max(0, sums.getOrDefault(id, 0.0)) / samples.size();
    }
}
