package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.EndedMessage;
import org.otterpond.messaging.message.MessageDestination;
import org.otterpond.messaging.message.MessageKeys;
import org.otterpond.messaging.message.MessageState;

/**
 * Guards against queued messages that no event moves on (review/1): who gives a message back on
 * each way that it can take at the primary of its partition.
 */
class DeliveryStagesTest {
  private static final long DELAY_MICROS = 1_000_000;
  private static final long RETENTION_MICROS = 60_000_000;

  private final ManualRuntime runtime = new ManualRuntime();
  private final RecordingListener listener = new RecordingListener();
  private final MessagePartition partition =
      new MessagePartition(
          new GroupClock(runtime),
          new MessagePartition.Resources(
              (position, use) -> use.accept(null), listener, new MessageBodyCache(0), 1_000_000),
          () -> true);
  private long lastSerial;

  /** Keeps what it is handed, in its order. */
  private static final class RecordingListener implements DeliveryListener {
    final List<String> ready = new ArrayList<>();
    final Map<String, Message> held = new HashMap<>();

    @Override
    public void ready(MessagePartition of, Message message) {
      ready.add(message.id());
      held.put(message.id(), message);
    }

    @Override
    public void stop(MessagePartition of, Runnable quiet) {
      List<Message> returned = new ArrayList<>(held.values());
      held.clear();
      returned.forEach(message -> of.later(message, 0));
      quiet.run();
    }

    @Override
    public Map<MessagePartition, Integer> countByPartition() {
      return Map.of();
    }
  }

  @BeforeEach
  void serve() {
    partition.serving(true);
  }

  private Message accept(String id, String orderingKey, long delayMicros) {
    AcceptedMessage entry =
        new AcceptedMessage(
            keys(id, orderingKey),
            new MessageDestination("host", "/x", 1),
            Messages.content(1),
            delayMicros,
            RETENTION_MICROS);
    partition.apply(entry.toWireRecord(), ++lastSerial, 0, runtime.now());
    return partition.get(id);
  }

  private static MessageKeys keys(String id, String orderingKey) {
    return new MessageKeys(id, "tenant", orderingKey, null);
  }

  private void end(String id, String orderingKey) {
    EndedMessage entry =
        new EndedMessage(
            keys(id, orderingKey),
            MessageState.COMPLETED,
            "seal",
            new MessageDestination("host", "/x", 1));
    partition.apply(entry.toWireRecord(), ++lastSerial, 0, runtime.now());
  }

  private int countStranded(boolean updatesPending) {
    return partition.delivery().countStranded(listener.held.size(), updatesPending);
  }

  @Test
  void givenEndWasNotCommitted_whenReplicaServesAgain_thenMessageIsOfferedAgain() {
    Message message = accept("m1", null, 0);
    assertTrue(partition.delivery().beginEnd(listener.held.remove("m1")));
    partition.serving(false);

    partition.delivery().endFailed(message);
    partition.serving(true);

    assertEquals(List.of("m1", "m1"), listener.ready);
  }

  @Test
  void givenEndWasRefusedAtOnce_whenStillActive_thenMessageIsOfferedAgain() {
    accept("m1", null, 0);
    Message message = listener.held.remove("m1");

    assertTrue(partition.delivery().beginEnd(message));
    partition.delivery().endFailed(message);

    assertEquals(List.of("m1", "m1"), listener.ready);
  }

  @Test
  void givenAttemptEndsAfterReplicaCeasedToServe_whenItServesAgain_thenMessageIsOfferedOnceMore() {
    accept("m1", null, 0);
    Message inFlight = listener.held.remove("m1");
    partition.deliveryBegan(inFlight);
    partition.serving(false);
    partition.serving(true);
    assertEquals(List.of("m1"), listener.ready);

    partition.later(inFlight, 0);

    assertEquals(List.of("m1", "m1"), listener.ready);
  }

  @Test
  void givenCopyWasReplaced_whenAttemptOfTheFormerCopyEnds_thenItIsNotOffered() {
    accept("m1", "key", 0);
    Message former = listener.held.remove("m1");
    partition.deliveryBegan(former);
    partition.serving(false);
    partition.clear();
    partition.serving(true);

    partition.later(former, 0);

    assertEquals(List.of("m1"), listener.ready);
    assertFalse(partition.delivery().beginEnd(former));
  }

  @Test
  void givenMessageWaitsForWorker_whenItsRetentionIsOver_thenItExpiresAndItsDeliveryIsStale() {
    Message message = accept("m1", null, 0);
    final PendingDelivery waiting = PendingDelivery.of(partition, message, runtime.now());
    runtime.run(RETENTION_MICROS + 1);

    assertEquals(List.of(message), partition.expire(runtime.now()));
    assertTrue(partition.delivery().beginEnd(message));

    assertFalse(waiting.isDeliverable());
    waiting.giveBack();
    assertEquals(List.of("m1"), listener.ready);
  }

  @Test
  void givenMessageInFlight_whenItsRetentionIsOver_thenItDoesNotExpire() {
    partition.deliveryBegan(accept("m1", null, 0));
    runtime.run(RETENTION_MICROS + 1);

    assertEquals(List.of(), partition.expire(runtime.now()));
  }

  @Test
  void givenOrderedMessages_whenFirstExpiresUnderItsDelay_thenNextIsOffered() {
    accept("m1", "key", 2 * RETENTION_MICROS);
    accept("m2", "key", 0);
    assertEquals(List.of(), listener.ready);
    assertTrue(partition.delivery().beginEnd(partition.get("m1")));

    end("m1", "key");

    assertEquals(List.of("m2"), listener.ready);
  }

  @Test
  void givenMessagesInEachStage_whenChecked_thenNoneIsStranded() {
    accept("ready", null, 0);
    accept("delayed", null, DELAY_MICROS);
    accept("first", "key", 0);
    accept("behind", "key", 0);
    partition.deliveryBegan(accept("in-flight", null, 0));
    partition.delivery().beginEnd(accept("ending", null, 0));
    listener.held.remove("ending");

    assertEquals(0, countStranded(true));
  }

  @Test
  void givenListenerHasDroppedMessage_whenChecked_thenItIsStranded() {
    accept("m1", null, 0);
    accept("m2", null, 0);

    listener.held.remove("m1");

    assertEquals(1, countStranded(false));
  }

  @Test
  void givenListenerOfAnEndWasNotCalled_whenNoUpdateIsPending_thenMessageIsStranded() {
    partition.delivery().beginEnd(accept("m1", null, 0));
    listener.held.clear();

    assertEquals(1, countStranded(false));
  }
}
