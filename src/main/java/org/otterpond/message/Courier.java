package org.otterpond.message;

/** What delivers the messages of the partitions that this node leads. */
public interface Courier {
  /** The message may be delivered now, and is the first of its order if it has one. */
  void ready(MessageQueue queue, Message message);

  /**
   * Nothing of this queue is to be begun any more; {@code quiet} runs once nothing of it is under
   * way.
   */
  void stop(MessageQueue queue, Runnable quiet);
}
