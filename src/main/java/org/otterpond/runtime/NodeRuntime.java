package org.otterpond.runtime;

import java.util.function.Consumer;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * The effects of the state machines: time, messages, the write-ahead log, timers and random
 * numbers. The production server and the simulator each implement it; all calls are made on the
 * owner thread.
 */
public interface NodeRuntime {
  /** Monotonic time in microseconds. */
  long now();

  /** Sends a message; it may be lost, never damaged. */
  void send(String address, WireRecord message);

  /** Encodes and sends a typed message; it may be lost, never damaged. */
  default void send(String address, Encodable message) {
    send(address, message.toWireRecord());
  }

  /**
   * Names the connection on which the last message to that address went, or is below 0 if nobody
   * knows.
   */
  default long connection(String address) {
    return -1;
  }

  /** Appends a record to this node's journal; the answer says whether it is durable. */
  void journal(WireRecord record, Consumer<Boolean> done);

  /** Encodes and appends a typed record; the answer says whether it is durable. */
  default void journal(Encodable record, Consumer<Boolean> done) {
    journal(record.toWireRecord(), done);
  }

  /** Runs later on the owner thread. */
  void after(long delayMicros, Runnable task);

  /**
   * Runs long work that touches none of the owner's state off the owner thread, where there is
   * another thread; {@code then} runs on the owner thread afterwards, also if the work failed.
   */
  default void apart(Runnable work, Runnable then) {
    work.run();
    then.run();
  }

  /** A number in [0, bound). */
  long random(long bound);

  /** Logs one line of key=value pairs. */
  void event(String line);
}
