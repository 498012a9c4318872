package org.otterpond.control.primary;

import java.util.function.Consumer;
import org.otterpond.control.message.PrimaryReply;

/**
 * Proves that this node was the primary after a request arrived. Replies that rest on the node's
 * own state, rejections among them, are sent only then: a process that was suspended does not
 * answer from outdated state.
 */
@FunctionalInterface
interface LeadershipConfirmation {
  /**
   * Asks for a proof.
   *
   * @param result gets true once it is proved that this node was the primary after the call, or
   *     false if that cannot be had
   */
  void confirm(Consumer<Boolean> result);

  /** Returns a receiver that sends each reply once there is a proof, and never if there is none. */
  default Consumer<PrimaryReply> confirmed(Consumer<PrimaryReply> reply) {
    return message ->
        confirm(
            proved -> {
              if (proved) {
                reply.accept(message);
              }
            });
  }
}
