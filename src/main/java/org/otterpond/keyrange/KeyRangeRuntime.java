package org.otterpond.keyrange;

import java.util.List;
import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;

/** Everything the keeper of the key ranges may do to the world. */
public interface KeyRangeRuntime {
  long now();

  void after(long delayMicros, Runnable task);

  /**
   * Writes to the core's group; the task runs once it is durable there. False if this node does not
   * lead.
   */
  boolean assign(WireRecord entry, Runnable durable);

  /** Whether this node leads and nobody else can. */
  boolean authority();

  /** From when on nothing that a primary before this one sent can arrive any more. */
  long successorFrom();

  /**
   * Calls a worker; told its answer, or null, in which case {@code Answer.lost} says whether it may
   * have arrived.
   */
  void call(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<Answer> answer);

  /** The newest of what is known of a worker's life, or null. */
  Worker worker(String instance);

  /** The workers of a service that are alive. */
  List<Worker> workers(String service);

  /** A number in [0, bound). */
  long random(long bound);

  void event(String line);

  /** A worker, as the register has it. */
  record Worker(
      String instance,
      String address,
      String zone,
      int slots,
      boolean inService,
      boolean alive,
      boolean surelyOver) {}

  /** The answer to a call; status 0 if there was none. */
  record Answer(int status, String token, boolean mayHaveArrived) {}
}
