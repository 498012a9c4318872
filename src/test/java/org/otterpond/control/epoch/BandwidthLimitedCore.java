package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.runtime.NodeRuntime;

/** Members of a core on simulated time, with links of limited bandwidth. */
final class BandwidthLimitedCore {
  private record Event(long at, long number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
    }
  }

  final Map<String, Member> members = new LinkedHashMap<>();
  final List<String> log = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random = new Random(1);
  private double bytesPerMicro;
  private final int faults;
  private long now = 1_000_000;
  private long number;

  /** Decides which messages are lost, by receiver and message. */
  BiPredicate<String, WireRecord> isLost = (to, f) -> false;

  int sentChunks;

  BandwidthLimitedCore(int size, int faults, double megabitsPerSecond) {
    this.faults = faults;
    setMegabitsPerSecond(megabitsPerSecond);
    List<CoreMember> coreMembers = new ArrayList<>();
    for (int i = 1; i <= size; i++) {
      coreMembers.add(new CoreMember("disk" + i, "m" + i, "m" + i, "z"));
    }
    for (CoreMember b : coreMembers) {
      members.put(b.address(), new Member(b));
    }
    EpochRecord first =
        new EpochRecord(
            "fleet", 1, coreMembers.get(0), coreMembers.subList(1, 1 + faults), coreMembers, size);
    members
        .values()
        .forEach(
            m -> {
              m.start();
              m.replica.acceptFirstRecord(first);
            });
    run(1_000_000);
  }

  void setMegabitsPerSecond(double megabitsPerSecond) {
    bytesPerMicro = megabitsPerSecond / 8;
  }

  void run(long micros) {
    long until = now + micros;
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event e = events.poll();
      now = e.at();
      e.task().run();
    }
    now = until;
  }

  private void at(long delay, Runnable task) {
    events.add(new Event(now + Math.max(0, delay), ++number, task));
  }

  Member leader() {
    return members.values().stream()
        .filter(m -> m.replica != null && m.replica.leading())
        .findFirst()
        .orElse(null);
  }

  /**
   * How long until there is a primary of an epoch after the one given; -1 if it takes longer than
   * the bound.
   */
  long untilEpochAfter(long epoch, long bound) {
    long from = now;
    while (now - from < bound) {
      run(10_000);
      Member l = leader();
      if (l != null && l.replica.record().epoch() > epoch) {
        return now - from;
      }
    }
    return -1;
  }

  /** Locks idempotency keys, as many as a busy time window has. */
  void lockKeys(int count) {
    for (int done = 0; done < count; ) {
      Member l = leader();
      for (int i = 0; i < 500 && done < count; i++, done++) {
        l.replica.propose(
            new WireRecord("claim")
                .with(
                    "key",
                    "acme/"
                        + Long.toHexString(random.nextLong())
                        + Long.toHexString(random.nextLong()))
                .with("token", Long.toHexString(random.nextLong()))
                .with("holder", "10.0.0." + random.nextInt(100) + ":7540"),
            () -> {});
      }
      run(50_000);
    }
    run(500_000);
  }

  final class Member implements NodeRuntime, EpochListener {
    final CoreMember member;
    final List<byte[]> journal = new ArrayList<>();
    EpochReplica replica;

    /** The number of writes that are refused from now on. */
    int refusals;

    private int incarnation;
    private long linkFree;

    Member(CoreMember member) {
      this.member = member;
    }

    void start() {
      incarnation++;
      replica =
          new EpochReplica(
              this,
              EpochTimeouts.standard(),
              this,
              member,
              new ReplicatedState(60_000_000),
              FaultTolerance.ofMachines(faults));
      journal.forEach(b -> replica.replay(decoded(b)));
      tick(incarnation);
    }

    void kill() {
      replica = null;
      incarnation++;
    }

    int lockedKeys() {
      return replica.hold().keyLockCount();
    }

    private void tick(int of) {
      at(
          100_000,
          () -> {
            if (of == incarnation) {
              replica.tick();
              tick(of);
            }
          });
    }

    @Override
    public long now() {
      return now;
    }

    @Override
    public long timeOfDayMicros() {
      return now;
    }

    @Override
    public void send(String address, WireRecord message) {
      byte[] bytes = WireRecordCodec.encode(message);
      sentChunks += message.kind().equals("snappiece") ? 1 : 0;
      linkFree = Math.max(linkFree, now) + (long) (bytes.length / bytesPerMicro);
      at(
          linkFree - now + 500,
          () -> {
            Member m = members.get(address);
            if (m.replica != null && !isLost.test(address, message)) {
              m.replica.onMessage(member.address(), decoded(bytes));
            }
          });
    }

    @Override
    public void journal(WireRecord record, Consumer<Boolean> done) {
      byte[] bytes = WireRecordCodec.encode(record);
      int of = incarnation;
      boolean refused = refusals-- > 0;
      at(
          1_000,
          () -> {
            if (of == incarnation) {
              if (!refused) {
                journal.add(bytes);
              }
              done.accept(!refused);
            }
          });
    }

    @Override
    public void after(long delay, Runnable task) {
      int of = incarnation;
      at(
          delay,
          () -> {
            if (of == incarnation) {
              task.run();
            }
          });
    }

    @Override
    public long random(long bound) {
      return Math.floorMod(random.nextLong(), bound);
    }

    @Override
    public void event(String line) {
      log.add(now / 1000 + " " + member.name() + " " + line);
    }

    @Override
    public void began(EpochRecord record, boolean continued) {
      // No services run here.
    }

    @Override
    public void steppedDown() {
      // No services run here.
    }

    @Override
    public void onRecordLearned(EpochRecord record) {
      // No services run here.
    }
  }

  private static WireRecord decoded(byte[] b) {
    try {
      return WireRecordCodec.decode(b, 0, b.length);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }
}
