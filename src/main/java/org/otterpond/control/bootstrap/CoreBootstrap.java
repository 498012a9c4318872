package org.otterpond.control.bootstrap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The one decision taken before there is a core: its first record. The seeds decide it among
 * themselves by a single-decree ballot (Paxos), each in its first life only, so that a seed that
 * forgot what it promised has no vote.
 */
public final class CoreBootstrap {
  private final NodeRuntime runtime;
  private final String self;
  private final List<String> seeds;
  private final int rank;
  private final FaultTolerance losses;
  private final boolean votes;
  private final long startedAt;

  private final Map<String, CoreMember> blanks = new LinkedHashMap<>();
  private long lastNews;

  private long promised;
  private long acceptedBallot;
  private EpochRecord accepted;

  private long ballot;
  private long ballotAt;
  private boolean asking;
  private EpochRecord value;
  private final Map<String, WireRecord> promises = new HashMap<>();
  private final Map<String, Boolean> accepts = new HashMap<>();

  private EpochRecord decided;

  public CoreBootstrap(
      NodeRuntime runtime,
      String self,
      List<String> seeds,
      boolean firstLife,
      FaultTolerance losses) {
    this.runtime = runtime;
    this.losses = losses;
    this.self = self;
    this.seeds = seeds;
    this.rank = seeds.indexOf(self);
    this.votes = firstLife && rank >= 0;
    this.startedAt = runtime.now();
    this.lastNews = startedAt;
  }

  public EpochRecord decided() {
    return decided;
  }

  /** A blank disk of the first start has made itself known. */
  public void blankDisk(CoreMember b) {
    if (blanks.put(b.diskId(), b) == null) {
      lastNews = runtime.now();
    }
  }

  public void tick() {
    long now = runtime.now();
    if (!votes || decided != null || blanks.isEmpty()) {
      return;
    }
    if (now - startedAt < 2_000_000L + rank * 2_000_000L || now - lastNews < 1_500_000) {
      return;
    }
    if (ballot != 0 && now - ballotAt < 1_000_000L + runtime.random(500_000)) {
      return;
    }
    ballot = (Math.max(promised, ballot) / 8 + 1) * 8 + rank;
    ballotAt = now;
    asking = true;
    promises.clear();
    accepts.clear();
    toSeeds(new WireRecord("fprep").with("ballot", ballot));
  }

  private void toSeeds(WireRecord f) {
    for (String s : seeds) {
      if (s.equals(self)) {
        onMessage(self, f);
      } else {
        runtime.send(s, f);
      }
    }
  }

  private void reply(String to, WireRecord f) {
    if (to.equals(self)) {
      onMessage(self, f);
    } else {
      runtime.send(to, f);
    }
  }

  public boolean onMessage(String from, WireRecord f) {
    switch (f.kind()) {
      case "fprep" -> {
        if (votes && f.number("ballot") > promised) {
          promised = f.number("ballot");
          reply(
              from,
              new WireRecord("fprom")
                  .with("ballot", promised)
                  .with("at", acceptedBallot)
                  .with("value", accepted == null ? null : accepted.toWireRecord()));
        }
      }
      case "fprom" -> {
        if (asking && f.number("ballot") == ballot) {
          promises.put(from, f);
          if (promises.size() >= majority()) {
            asking = false;
            value = chooseValue();
            toSeeds(
                new WireRecord("facc").with("ballot", ballot).with("value", value.toWireRecord()));
          }
        }
      }
      case "facc" -> {
        if (votes && f.number("ballot") >= promised) {
          promised = f.number("ballot");
          acceptedBallot = promised;
          accepted = EpochRecord.of(f.nested("value"));
          reply(from, new WireRecord("faccd").with("ballot", promised));
        }
      }
      case "faccd" -> {
        if (f.number("ballot") == ballot && value != null && decided == null) {
          accepts.put(from, true);
          if (accepts.size() >= majority()) {
            decided = value;
            runtime.event(
                "event=core_founded members="
                    + value.members().size()
                    + " primary="
                    + value.primary().name());
          }
        }
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private int majority() {
    return seeds.size() / 2 + 1;
  }

  private EpochRecord chooseValue() {
    WireRecord best = null;
    for (WireRecord f : promises.values()) {
      if (f.nested("value") != null && (best == null || f.number("at") > best.number("at"))) {
        best = f;
      }
    }
    if (best != null) {
      return EpochRecord.of(best.nested("value"));
    }
    List<CoreMember> disks = new ArrayList<>(blanks.values());
    disks.sort(Comparator.comparing(CoreMember::address));
    List<CoreMember> members = losses.members(disks);
    List<CoreMember> backups =
        losses.backups(
            members.get(0),
            members.subList(1, members.size()),
            Comparator.comparing(members::indexOf),
            losses.copies());
    String fleet = Long.toHexString(runtime.random(Long.MAX_VALUE));
    return new EpochRecord(fleet, 1, members.get(0), backups, members, members.size());
  }
}
