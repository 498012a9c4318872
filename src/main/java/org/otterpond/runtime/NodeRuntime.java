package org.otterpond.runtime;

import java.util.function.Consumer;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The effects of the state machines: time, messages, the write-ahead log, timers and random
 * numbers. The production server and the simulator each implement it. All calls are made on the
 * owner thread, and all callbacks run on it.
 */
public interface NodeRuntime {
  /** Monotonic time in microseconds. */
  long now();

  /**
   * Returns the time of day in microseconds since 1970. It differs from machine to machine and may
   * jump in either direction, so it only bridges the time in which a process did not run.
   */
  long timeOfDayMicros();

  /** Sends a message; it may be lost, but is never damaged. */
  void send(String address, WireRecord message);

  /** Encodes and sends a typed message; it may be lost, but is never damaged. */
  default void send(String address, Encodable message) {
    send(address, message.toWireRecord());
  }

  /**
   * Returns a number that identifies the connection on which the last message to this address was
   * sent; negative if it is unknown.
   */
  default long connection(String address) {
    return -1;
  }

  /**
   * Appends a record to this node's write-ahead log.
   *
   * @param done gets true once the record is durable, or false if it was not written
   */
  void journal(WireRecord record, Consumer<Boolean> done);

  /**
   * Encodes a typed record and appends it to this node's write-ahead log.
   *
   * @param done gets true once the record is durable, or false if it was not written
   */
  default void journal(Encodable record, Consumer<Boolean> done) {
    journal(record.toWireRecord(), done);
  }

  /** Runs a task on the owner thread after a delay in microseconds. */
  void after(long delayMicros, Runnable task);

  /**
   * Runs long work that touches no state of the owner thread on another thread, where there is one.
   *
   * @param work the work
   * @param then runs on the owner thread afterwards, also if the work failed
   */
  default void runOffThread(Runnable work, Runnable then) {
    work.run();
    then.run();
  }

  /** Returns a random number from 0 to {@code bound}, without {@code bound}. */
  long random(long bound);

  /** Logs an event: one line of key=value pairs, starting with {@code event=}. */
  void event(String line);

  /**
   * Logs a message that was dropped because it could not be read.
   *
   * @param from internal address of the sender
   * @param cause names the kind of the message and the field
   */
  default void malformedMessage(String from, ProtocolException cause) {
    event("event=malformed_message from=" + from + " cause=" + cause.getMessage());
  }
}
