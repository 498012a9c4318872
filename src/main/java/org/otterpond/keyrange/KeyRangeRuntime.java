package org.otterpond.keyrange;

import java.util.List;
import java.util.function.Consumer;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * The effects of the key range manager: time, writes to the core, calls to workers. All calls and
 * callbacks are made on the owner thread.
 */
public interface KeyRangeRuntime {
  /** Returns the monotonic time in microseconds. */
  long now();

  /** Runs a task on the owner thread after a delay in microseconds. */
  void after(long delayMicros, Runnable task);

  /**
   * Writes an entry to the replicated table of the core.
   *
   * @param durable run once the entry is durable on the whole group
   * @return false if this node is not the primary
   */
  boolean assign(WireRecord entry, Runnable durable);

  /** Encodes and writes a typed entry, as the other overload does. */
  default boolean assign(Encodable entry, Runnable durable) {
    return assign(entry.toWireRecord(), durable);
  }

  /** Returns whether this node is the primary and nobody else can be at this moment. */
  boolean hasAuthority();

  /** Returns the time from which on no earlier primary has authority, in microseconds. */
  long predecessorAuthorityEndsAt();

  /**
   * Calls a worker.
   *
   * @param timeout how long the answer is waited for, in microseconds
   * @param answer gets the answer, also if the call failed
   */
  void call(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<Answer> answer);

  /** Returns what is known of a worker, or null. */
  Worker worker(String instance);

  /** Returns the workers of a service that are alive. */
  List<Worker> workers(String service);

  /** Returns a random number in [0, bound). */
  long random(long bound);

  /** Logs one line of key=value pairs. */
  void event(String line);

  /**
   * A worker as the registry has it.
   *
   * @param instance identity of the worker's process
   * @param slots how many requests it works on at a time
   * @param inService whether it takes requests; false if it is draining
   * @param alive whether its heartbeats arrive
   * @param surelyOver whether its process has ended for certain
   */
  record Worker(
      String instance,
      String address,
      String zone,
      int slots,
      boolean inService,
      boolean alive,
      boolean surelyOver) {}

  /**
   * The answer to a call.
   *
   * @param status HTTP status, 0 if there was no answer
   * @param token handover token of the worker, or null
   * @param mayHaveArrived whether the worker may have received the call
   */
  record Answer(int status, String token, boolean mayHaveArrived) {}
}
