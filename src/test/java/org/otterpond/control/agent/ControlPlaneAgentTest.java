package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.FetchOutcomeReply;
import org.otterpond.control.message.FetchOutcomeRequest;
import org.otterpond.control.message.NotPrimaryReply;
import org.otterpond.control.message.StatusRequest;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/** A node without a disk, by itself: how the parts of the agent work together. */
class ControlPlaneAgentTest {
  private static final long TIMEOUT = 900 * MILLIS;
  private static final EpochRecord FIRST = CoreLocatorTest.epoch("f", 1, "p1");
  private static final EpochRecord SECOND = CoreLocatorTest.epoch("f", 2, "p2");

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final ControlPlaneAgent agent =
      new ControlPlaneAgent(
          runtime,
          new NodeIdentity("self", "node", "z", null, false, false, List.of("seed"), /* life */ 1),
          new TestDataPlane(),
          new ControlPlaneSettings(
              1_500 * MILLIS,
              60_000 * MILLIS,
              1,
              new QuotaSettings(5_000_000, 0.1, 20, 2_000_000)));
  private final List<WireRecord> answers = new ArrayList<>();

  private void announce(EpochRecord record) {
    agent.onMessage("seed", new EpochAnnouncement(record).toWireRecord());
    runtime.run(0);
  }

  private List<String> sentTo(String kind) {
    return runtime.takeSent().stream()
        .filter(sent -> sent.message().kind().equals(kind))
        .map(RecordingRuntime.Sent::to)
        .toList();
  }

  @Test
  void announcedEpochIsPolledAtItsPrimary() {
    announce(FIRST);

    assertEquals(FIRST, agent.known());
    assertEquals(List.of("p1"), sentTo("poll"));
  }

  @Test
  void requestFollowsThePrimaryThatReplyNames() {
    announce(FIRST);
    agent.ask(new StatusRequest(), TIMEOUT, TIMEOUT, answers::add);
    assertEquals(List.of("p1"), sentTo("ask"));

    agent.onMessage("p1", new NotPrimaryReply(SECOND).toWireRecord());

    assertEquals(List.of("p2"), sentTo("ask"));
    assertTrue(answers.isEmpty());
  }

  @Test
  void pollOfAnotherNodeIsAnsweredWithTheKnownEpoch() {
    announce(FIRST);
    runtime.takeSent();

    agent.onMessage("n1", new WireRecord("poll"));

    assertEquals(List.of("n1"), sentTo(EpochAnnouncement.KIND));
  }

  @Test
  void fetchedOutcomeIsTakenOutOfItsReply() {
    agent.fetchOutcome("n1", "key", "token", TIMEOUT, answers::add);
    RecordingRuntime.Sent request = runtime.takeOnlySent();
    long requestId = request.message().number("rid");

    agent.onMessage(
        "n1", new FetchOutcomeReply(requestId, new WireRecord("working")).toWireRecord());

    assertEquals("n1", request.to());
    assertEquals("working", answers.get(0).kind());
  }

  @Test
  void fetchOfUnknownOutcomeIsAnsweredWithoutOne() {
    WireRecord request = new FetchOutcomeRequest("key", "token").toWireRecord().with("rid", 5L);

    agent.onMessage("n1", request);

    WireRecord reply = runtime.takeOnlySent().message();
    assertEquals(5, reply.number("rid"));
    assertNull(reply.nested("answer"));
  }

  @Test
  void malformedMessageIsLoggedWithItsKindAndFieldAndDropped() {
    agent.onMessage("n1", new WireRecord("news").with("epoch", 1L));

    String event = runtime.events().get(0);
    assertTrue(event.startsWith("event=malformed_message from=n1"), event);
    assertTrue(event.contains("news") && event.contains("ver"), event);
    assertTrue(runtime.takeSent().isEmpty());
  }

  @Test
  void closedConnectionLeavesTheOutcomeOfRequestToThatNodeUnknown() {
    agent.requestNodeOnce("n1", new WireRecord("m.put"), TIMEOUT, answers::add);

    agent.peerLost("n1", /* neverUp= */ false, runtime.connection);

    assertEquals(1, answers.size());
    assertNull(answers.get(0));
  }
}
