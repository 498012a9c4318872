package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/** A runtime whose clock stands until the test moves it. Messages are kept and not delivered. */
public final class ManualRuntime implements NodeRuntime, EpochListener {
  private record Timer(long at, long number, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final List<WireRecord> sent = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private long now = 1_000_000_000L;
  private long timerCount;
  private long clockErrorMicros;

  /** Lets the time of day jump. */
  public void jumpTimeOfDay(long micros) {
    clockErrorMicros += micros;
  }

  /** Runs what is due within this time, in its order. */
  public void run(long micros) {
    long until = now + micros;
    while (!timers.isEmpty() && timers.peek().at() <= until) {
      Timer next = timers.poll();
      now = next.at();
      next.task().run();
    }
    now = until;
  }

  /** Returns the messages sent, in their order. */
  public List<WireRecord> sent() {
    return sent;
  }

  /** Returns the log lines, in their order. */
  public List<String> events() {
    return events;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public long timeOfDayMicros() {
    return now + clockErrorMicros;
  }

  @Override
  public void send(String address, WireRecord message) {
    sent.add(message);
  }

  @Override
  public void journal(WireRecord record, Consumer<Boolean> done) {
    after(0, () -> done.accept(true));
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    timers.add(new Timer(now + delayMicros, ++timerCount, task));
  }

  @Override
  public long random(long bound) {
    return 0;
  }

  @Override
  public void event(String line) {
    events.add(line);
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
