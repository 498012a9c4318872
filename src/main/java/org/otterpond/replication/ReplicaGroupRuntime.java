package org.otterpond.replication;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.WireRecord;

/** Everything a replica group may do to the world. */
public interface ReplicaGroupRuntime {
  long now();

  /** Sends to the machine of a member; it may be lost, never damaged. */
  void send(String member, WireRecord message);

  /** Appends a record; the answer is its place on the disk once it is durable, or below 0. */
  void journal(WireRecord record, LongConsumer done);

  /** Runs later on the owner thread. */
  void after(long delayMicros, Runnable task);

  /**
   * Proposes to the configuration manager; told what is in force then, or null if there was no
   * clear answer.
   */
  void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome);

  /** Tells the manager that a wanted member could not be brought up to date. */
  void candidateFailed(int group, String member);

  void event(String line);
}
