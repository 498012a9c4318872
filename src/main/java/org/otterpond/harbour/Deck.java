package org.otterpond.harbour;

import java.util.function.Consumer;
import org.otterpond.signal.Flag;

/**
 * Everything the state machines may do to the world. The daemon and the simulator each give one.
 */
public interface Deck {
  /** Monotonic time in microseconds. */
  long now();

  /** Sends a message; it may be lost, never damaged. */
  void send(String address, Flag message);

  /**
   * Names the connection on which the last message to that address went, or is below 0 if nobody
   * knows.
   */
  default long connection(String address) {
    return -1;
  }

  /** Appends a record to this node's journal; the answer says whether it is durable. */
  void journal(Flag record, Consumer<Boolean> done);

  /** Runs later on the owner thread. */
  void after(long delayMicros, Runnable task);

  /**
   * Does long work that touches nothing of the owner's, beside the owner thread where there is
   * another; what follows is done on the owner thread, also if the work failed.
   */
  default void apart(Runnable work, Runnable then) {
    work.run();
    then.run();
  }

  /** A number in [0, bound). */
  long random(long bound);

  void event(String line);
}
