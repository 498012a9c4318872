package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.WorkerState;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

class UpdatePollerTest {
  private static final long EPOCH = 7;

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final CoreLocator locator = CoreLocatorTest.locator(runtime);
  private final TestDataPlane dataPlane = new TestDataPlane();
  private final WorkerRoster roster = new WorkerRoster(runtime, dataPlane::worker);
  private final UpdateApplier applier =
      new UpdateApplier(
          runtime,
          dataPlane,
          roster,
          new ActiveConfiguration(runtime, dataPlane::configured),
          revision -> null);
  private final List<EpochRecord> records = new ArrayList<>();
  private final UpdatePoller poller =
      new UpdatePoller(
          runtime, locator, dataPlane, applier, (record, fleet) -> records.add(record));

  @BeforeEach
  void primaryIsKnown() {
    locator.adopt(CoreLocatorTest.epoch("f", EPOCH, "p"));
  }

  private WireRecord poll() {
    poller.tick(runtime.now());
    return runtime.takeOnlySent().message();
  }

  private static WireRecord answerTo(WireRecord poll) {
    return new WireRecord("news")
        .with("epoch", EPOCH)
        .with("ver", 3L)
        .with("pn", poll.number("pn"))
        .with("rev", 0L)
        .with("back", 0L);
  }

  private boolean polledAgain() {
    return runtime.takeSent().stream().anyMatch(sent -> sent.message().kind().equals("poll"));
  }

  @Test
  void answerIsFollowedByTheNextPollWithTheNewVersions() {
    WireRecord first = poll();

    poller.onAnswer("p", answerTo(first));

    WireRecord second = runtime.takeOnlySent().message();
    assertEquals(0, first.number("table"));
    assertEquals(3, second.number("table"));
    assertEquals(EPOCH, second.number("epoch"));
    assertTrue(second.number("pn") > first.number("pn"));
  }

  @Test
  void checksumGoesOnlyWithTheFirstPollOfAnEpoch() {
    WireRecord first = poll();
    poller.onAnswer("p", answerTo(first));
    final WireRecord second = runtime.takeOnlySent().message();

    assertTrue(first.has("sum"));
    assertFalse(second.has("sum"));
  }

  @Test
  void answerOfAnotherNodeEpochOrPollIsIgnored() {
    WireRecord poll = poll();

    poller.onAnswer("other", answerTo(poll));
    poller.onAnswer("p", answerTo(poll).with("epoch", EPOCH - 1));
    poller.onAnswer("p", answerTo(poll).with("pn", poll.number("pn") - 1));

    assertFalse(polledAgain());
    assertEquals(0, applier.tableVersion());
  }

  @Test
  void lostPollIsRepeatedAndTheCoreLookedFor() {
    poll();

    runtime.run(1_300 * MILLIS);
    poller.tick(runtime.now());
    assertTrue(runtime.takeSent().isEmpty());
    runtime.run(1);
    poller.tick(runtime.now());

    List<String> kinds =
        runtime.takeSent().stream().map(sent -> sent.message().kind()).distinct().toList();
    assertEquals(List.of("hello", "poll"), kinds);
  }

  @Test
  void newPrimaryIsPolledAtOnce() {
    poll();

    locator.adopt(CoreLocatorTest.epoch("f", EPOCH + 1, "p2"));
    poller.onPrimaryChanged();
    runtime.run(0);

    assertEquals("p2", runtime.takeOnlySent().to());
  }

  @Test
  void closedConnectionToThePrimaryEndsThePoll() {
    poll();

    poller.onConnectionLost("p");
    poller.tick(runtime.now());

    assertTrue(polledAgain());
  }

  @Test
  void nodeIsOutOfTouchAfterTheTimeOfATakeoverWithoutAnswer() {
    assertTrue(poller.outOfTouch());
    poller.onAnswer("p", answerTo(poll()));
    assertFalse(poller.outOfTouch());

    runtime.run(1_700 * MILLIS);
    assertFalse(poller.outOfTouch());
    runtime.run(1);

    assertTrue(poller.outOfTouch());
  }

  @Test
  void configurationIsFreshAsOfThePollLessTheAgeOfThePrimarysAuthority() {
    final long polledAt = runtime.now();
    WireRecord poll = poll();
    runtime.run(500 * MILLIS);

    poller.onAnswer("p", answerTo(poll).with("back", 20L));

    assertEquals(polledAt - 20, poller.configurationFreshAt());
  }

  @Test
  void configurationIsNotFreshWhileANewerRevisionIsMissing() {
    long before = poller.configurationFreshAt();

    poller.onAnswer("p", answerTo(poll()).with("rev", 1L));

    assertEquals(before, poller.configurationFreshAt());
  }

  @Test
  void workersUnknownToThePrimaryAreReportedWithTheNextPoll() {
    roster.merge(WorkerRosterTest.worker("w1", WorkerState.IN_SERVICE, 1));
    WireRecord emptyTable = new WireRecord("table").withRecords("table", List.of());

    poller.onAnswer(
        "p", answerTo(poll()).with("whole", CompressedPayload.pack(emptyTable)).with("want", true));

    List<WireRecord> reports = runtime.takeOnlySent().message().records("tell");
    assertEquals(List.of("w1"), reports.stream().map(report -> report.text("id")).toList());
  }

  @Test
  void assignmentsAreAppliedOnce() {
    WireRecord assignment = new WireRecord("assign").with("key", "k");
    WireRecord answer = answerTo(poll()).with("asno", 4L).withRecords("as", List.of(assignment));

    poller.onAnswer("p", answer);
    WireRecord next = runtime.takeOnlySent().message();
    poller.onAnswer("p", answer.with("pn", next.number("pn")));

    assertEquals(4, next.number("as"));
    assertEquals(1, dataPlane.assignments.size());
  }

  @Test
  void unreadableTableIsLoggedAndTheRestIsApplied() {
    poller.onAnswer("p", answerTo(poll()).with("whole", new byte[] {1, 2, 3}).with("asno", 4L));

    assertTrue(
        runtime.events().stream()
            .anyMatch(event -> event.startsWith("event=worker_table_unreadable")));
    assertEquals(4, applier.assignmentNumber());
  }
}
