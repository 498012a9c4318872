package org.otterpond.replication;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * The effects of a replica group: time, messages, the log, timers and the configuration manager.
 * All calls and callbacks are made on the owner thread.
 */
public interface ReplicaGroupRuntime {
  /** Returns the monotonic time in microseconds. */
  long now();

  /** Sends to the machine of a member; the message may be lost, never damaged. */
  void send(String member, WireRecord message);

  /** Encodes and sends a typed message; it may be lost, never damaged. */
  default void send(String member, Encodable message) {
    send(member, message.toWireRecord());
  }

  /**
   * Appends a record to the log.
   *
   * @param done gets the position of the record once it is durable, or a negative number if the
   *     write failed
   */
  void journal(WireRecord record, LongConsumer done);

  /** Encodes and appends a typed record; the callback is that of the other overload. */
  default void journal(Encodable record, LongConsumer done) {
    journal(record.toWireRecord(), done);
  }

  /** Runs a task on the owner thread after a delay in microseconds. */
  void after(long delayMicros, Runnable task);

  /**
   * Proposes a configuration to the configuration manager.
   *
   * @param outcome gets the configuration in force after the proposal was decided, or null if there
   *     was no clear answer
   */
  void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome);

  /** Reports to the manager that the state transfer to a wanted member failed. */
  void candidateFailed(int group, String member);

  /** Logs one line of key=value pairs. */
  void event(String line);
}
