package org.otterpond.messaging;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupRuntime;

/** Time and timers of a partition without a group, by the clock of the test. */
record GroupClock(ManualRuntime runtime) implements ReplicaGroupRuntime {
  @Override
  public long now() {
    return runtime.now();
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    runtime.after(delayMicros, task);
  }

  @Override
  public void event(String line) {
    runtime.event(line);
  }

  @Override
  public void send(String member, WireRecord message) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void journal(WireRecord entry, LongConsumer done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void candidateFailed(int group, String member) {
    throw new UnsupportedOperationException();
  }
}
