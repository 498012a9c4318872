package org.otterpond.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.messaging.DeliveryListener;
import org.otterpond.messaging.Message;
import org.otterpond.messaging.MessagePartition;
import org.otterpond.messaging.MessageStore;
import org.otterpond.messaging.message.MessageState;

/**
 * Delivers to workers who succeed mostly, fail at times, and whose answers are lost now and then.
 */
final class SimulatedDelivery implements DeliveryListener {
  private static final int MOST_ATTEMPTS = 3;

  private final SimulatedWorld world;
  private final MessageInvariantChecker checker;
  private final Consumer<Runnable> perform;
  MessageStore store;
  private final Map<MessagePartition, Integer> underWay = new HashMap<>();
  private final Map<MessagePartition, Runnable> quieting = new HashMap<>();
  private final Set<Message> waiting = new HashSet<>();

  SimulatedDelivery(
      SimulatedWorld world, MessageInvariantChecker checker, Consumer<Runnable> perform) {
    this.world = world;
    this.checker = checker;
    this.perform = perform;
  }

  @Override
  public void ready(MessagePartition queue, Message m) {
    waiting.add(m);
    world.at(
        500 + world.random.nextInt(3_000),
        () ->
            perform.accept(
                () -> {
                  if (waiting.remove(m)) {
                    send(queue, m);
                  }
                }));
  }

  private void send(MessagePartition queue, Message m) {
    if (!queue.serving()) {
      queue.later(m, 0);
      return;
    }
    underWay.merge(queue, 1, Integer::sum);
    queue.whole(
        m,
        whole -> {
          if (whole == null) {
            checker.breach("bytes of " + m.id() + " cannot be read");
            return;
          }
          int draw = world.random.nextInt(100);
          long run = 5_000 + world.random.nextInt(40_000);
          world.at(
              300,
              () -> {
                checker.began(m.id());
                world.at(
                    run,
                    () -> {
                      boolean success = draw < 88;
                      if (success) {
                        checker.succeeded(m.id(), "seal-" + m.id() + "-" + run);
                      } else if (draw < 90) {
                        checker.refusedForGood(m.id());
                      } else if (draw < 96) {
                        checker.failed(m.id(), MOST_ATTEMPTS);
                      }
                      world.at(
                          300,
                          () ->
                              perform.accept(
                                  () -> told(queue, m, draw, "seal-" + m.id() + "-" + run)));
                    });
              });
        });
  }

  private void told(MessagePartition queue, Message m, int draw, String seal) {
    if (draw < 85) {
      checker.read(m.id());
      store.ended(queue, m, MessageState.COMPLETED, seal);
    } else if (draw >= 88 && draw < 90) {
      store.ended(queue, m, MessageState.DEAD_LETTER, null);
    } else if (draw >= 90 && draw < 96) {
      store.tried(queue, m);
      if (m.attempts() >= MOST_ATTEMPTS) {
        store.ended(queue, m, MessageState.DEAD_LETTER, null);
      } else {
        queue.later(m, 20_000);
      }
    } else {
      // Silence: it may have run.
      queue.later(m, 50_000);
    }
    if (underWay.merge(queue, -1, Integer::sum) == 0) {
      underWay.remove(queue);
      Runnable quiet = quieting.remove(queue);
      if (quiet != null) {
        quiet.run();
      }
    }
  }

  @Override
  public void stop(MessagePartition queue, Runnable quiet) {
    if (underWay.containsKey(queue)) {
      quieting.put(queue, quiet);
    } else {
      quiet.run();
    }
  }
}
