package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.WireRecord;

/** A runtime with a clock that stands still; writes are answered when the test says so. */
final class RecordingRuntime implements ReplicaGroupRuntime {
  final List<WireRecord> sent = new ArrayList<>();
  final List<WireRecord> log = new ArrayList<>();
  private final List<LongConsumer> unanswered = new ArrayList<>();

  @Override
  public long now() {
    return 1_000_000;
  }

  @Override
  public void send(String member, WireRecord message) {
    sent.add(message);
  }

  @Override
  public void journal(WireRecord record, LongConsumer done) {
    log.add(record);
    unanswered.add(done);
  }

  /** Answers all writes so far: they are durable, or all were refused. */
  void answerWrites(boolean durable) {
    List<LongConsumer> answered = new ArrayList<>(unanswered);
    unanswered.clear();
    answered.forEach(done -> done.accept(durable ? 7 : -1));
  }

  @Override
  public void after(long delayMicros, Runnable task) {}

  @Override
  public void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {}

  @Override
  public void candidateFailed(int group, String member) {}

  @Override
  public void event(String line) {}
}
