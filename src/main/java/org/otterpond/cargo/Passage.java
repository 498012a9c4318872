package org.otterpond.cargo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.chart.Route;
import org.otterpond.chart.RouteType;
import org.otterpond.quay.Call;
import org.otterpond.quay.Quay;

/** One request on its way: where it goes, what it may still try, and until when. */
final class Passage {
    final Call call;
    final Route route;
    final Fairway fairway;
    final Set<String> tried = new HashSet<>();
    private final long deadline;
    private final long refuseAt;

    int attempts;
    String key;
    String token;
    final List<Attempt> open = new ArrayList<>();
    Quay.Timer timer;
    Quay.Timer hedge;
    boolean finished;
    boolean freed;
    /** True once a byte of the request may have reached a worker that has not disowned it. */
    boolean mayHaveRun;

    Passage(Call call, Route route, Fairway fairway, long deadline, long refuseAt) {
        this.call = call;
        this.route = route;
        this.fairway = fairway;
        this.deadline = deadline;
        this.refuseAt = refuseAt;
    }

    int priority() {
        return route.priority();
    }

    long deadline() {
        return deadline;
    }

    /** When to refuse it if no worker has been offered it by then. */
    long refuseAt() {
        return refuseAt;
    }

    boolean keyed() {
        return route.type() == RouteType.KEYED;
    }

    boolean repeatable() {
        return route.type() == RouteType.IDEMPOTENT;
    }
}
