package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.runtime.NodeRuntime;

/**
 * Who should be a member of the core next, as its primary sees it. One disk is taken in or one put
 * out at a time, or one for another, so that the majorities before and after meet.
 */
final class CoreMembership {
  private static final long DEAD = 1_500_000;

  /**
   * A member that nobody replaces may come back; if the core is larger than it need be it is waited
   * for this long.
   */
  private static final long DROP = 2_500_000;

  /**
   * Silent for so long, a member may be dead: nobody is added beside it, lest the dead one and the
   * new count both.
   */
  private static final long DOUBTFUL = 500_000;

  private static final long SEEN = 500_000;
  private static final long AGAIN = 500_000;

  /**
   * A newcomer that was tried and is no member is left alone for so long, twice as long after each
   * try more.
   */
  private static final long RETRY = 1_000_000;

  private static final int MOST_DOUBLINGS = 4;

  /** A machine with a disk that holds a lease and is no member. */
  record Newcomer(CoreMember member, long firstSeen) {}

  private record Tried(long at, int times) {
    boolean rests(long now) {
      return now - at < RETRY << Math.min(MOST_DOUBLINGS, times - 1);
    }
  }

  private final NodeRuntime runtime;
  private final EpochReplica watch;
  private final FaultTolerance losses;
  private final Map<String, Tried> tried = new HashMap<>();
  private long changedAt;

  CoreMembership(NodeRuntime runtime, EpochReplica watch, FaultTolerance losses) {
    this.runtime = runtime;
    this.watch = watch;
    this.losses = losses;
  }

  void tick(List<Newcomer> there) {
    long now = runtime.now();
    if (now - changedAt < AGAIN) {
      return;
    }
    EpochRecord r = watch.record();
    List<CoreMember> members = r.members();
    members.forEach(m -> tried.remove(m.diskId()));
    List<CoreMember> fresh = new ArrayList<>();
    for (Newcomer n : there) {
      Tried t = tried.get(n.member().diskId());
      if (t != null && t.rests(now) || r.hasMember(n.member().diskId())) {
        continue;
      }
      CoreMember old = at(members, n.member().address());
      if (old != null) {
        // The machine came back without its disk: what that held votes no more.
        change(r, n.member(), old);
        return;
      }
      if (now - n.firstSeen() > SEEN) {
        fresh.add(n.member());
      }
    }
    CoreMember dead = missing(r, fresh.isEmpty() ? DROP : DEAD);
    if (!fresh.isEmpty() && dead != null) {
      change(r, best(members, fresh, dead), dead);
    } else if (dead != null && members.size() > r.target()) {
      change(r, null, dead);
    } else if (missing(r, DOUBTFUL) == null) {
      reshape(r, fresh);
    }
  }

  private static CoreMember at(List<CoreMember> members, String address) {
    return members.stream().filter(m -> m.address().equals(address)).findFirst().orElse(null);
  }

  /**
   * A member that has been silent for so long; where somebody waits for its place, also one that is
   * leaving.
   */
  private CoreMember missing(EpochRecord r, long span) {
    return r.members().stream()
        .filter(
            m ->
                !m.diskId().equals(r.primary().diskId())
                    && (watch.silent(m, span) || span == DEAD && watch.leaving(m)))
        .findFirst()
        .orElse(null);
  }

  private CoreMember best(List<CoreMember> members, List<CoreMember> fresh, CoreMember instead) {
    CoreMember best = null;
    int most = Integer.MIN_VALUE;
    for (CoreMember b : fresh) {
      int margin = losses.margin(changed(members, b, instead));
      if (margin > most) {
        best = b;
        most = margin;
      }
    }
    return best;
  }

  /**
   * With every member in touch: grows, and leaves nowhere so many that a loss to be borne takes a
   * majority.
   */
  private void reshape(EpochRecord r, List<CoreMember> fresh) {
    List<CoreMember> members = r.members();
    if (losses.margin(members) >= 0) {
      CoreMember b = best(members, fresh, null);
      if (b != null
          && members.size() < losses.mostMembers()
          && losses.margin(changed(members, b, null)) >= 0) {
        change(r, b, null);
      }
      return;
    }
    List<CoreMember> all = new ArrayList<>(members);
    // The primary first: it is the last to be put out.
    all.remove(r.primary());
    all.add(0, r.primary());
    all.addAll(fresh);
    List<CoreMember> wanted = losses.members(all);
    CoreMember in = fresh.stream().filter(wanted::contains).findFirst().orElse(null);
    CoreMember out =
        losses.margin(wanted) <= losses.margin(members)
            ? null
            : members.stream()
                .filter(m -> !wanted.contains(m) && !m.equals(r.primary()))
                .findFirst()
                .orElse(null);
    if (in != null || out != null) {
      change(r, in, out);
    }
  }

  private static List<CoreMember> changed(List<CoreMember> members, CoreMember in, CoreMember out) {
    List<CoreMember> next = new ArrayList<>(members);
    next.remove(out);
    if (in != null) {
      next.add(in);
    }
    return List.copyOf(next);
  }

  private void change(EpochRecord r, CoreMember in, CoreMember out) {
    changedAt = runtime.now();
    if (in != null) {
      tried.merge(
          in.diskId(), new Tried(changedAt, 1), (a, b) -> new Tried(changedAt, a.times() + 1));
    }
    runtime.event(
        "event=core_change in="
            + (in == null ? "none" : in.name())
            + " out="
            + (out == null ? "none" : out.name()));
    watch.changeMembers(changed(r.members(), in, out));
  }
}
