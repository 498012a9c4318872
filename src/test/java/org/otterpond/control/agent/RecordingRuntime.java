package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/** A runtime whose clock the test moves and which records what is sent to whom. */
final class RecordingRuntime implements NodeRuntime {
  static final long MILLIS = 1_000;
  static final long SECONDS = 1_000_000;

  private final ManualRuntime clock = new ManualRuntime();
  private final List<Sent> sent = new ArrayList<>();

  /** The connection on which messages are sent from now on. */
  long connection = 1;

  record Sent(String to, WireRecord message) {}

  /** Runs everything that is due within this time. */
  void run(long micros) {
    clock.run(micros);
  }

  /** Returns what has been sent since the last call. */
  List<Sent> takeSent() {
    List<Sent> taken = List.copyOf(sent);
    sent.clear();
    return taken;
  }

  /** Returns the only message that has been sent since the last call. */
  Sent takeOnlySent() {
    List<Sent> taken = takeSent();
    if (taken.size() != 1) {
      throw new AssertionError("expected one message, found " + taken);
    }
    return taken.get(0);
  }

  List<String> events() {
    return clock.events();
  }

  @Override
  public long now() {
    return clock.now();
  }

  @Override
  public long timeOfDayMicros() {
    return clock.timeOfDayMicros();
  }

  @Override
  public void send(String address, WireRecord message) {
    sent.add(new Sent(address, message));
  }

  @Override
  public long connection(String address) {
    return connection;
  }

  @Override
  public void journal(WireRecord record, Consumer<Boolean> done) {
    clock.journal(record, done);
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    clock.after(delayMicros, task);
  }

  @Override
  public long random(long bound) {
    return clock.random(bound);
  }

  @Override
  public void event(String line) {
    clock.event(line);
  }
}
