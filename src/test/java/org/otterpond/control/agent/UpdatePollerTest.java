package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.AssignmentUpdate;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.FleetSummary;
import org.otterpond.control.message.MembershipUpdate;
import org.otterpond.control.message.PollResponse;
import org.otterpond.control.message.PollResponseHeader;
import org.otterpond.control.message.WorkerTable;
import org.otterpond.control.message.WorkerTableUpdate;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.WorkerState;
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
  private final List<MembershipUpdate> memberships = new ArrayList<>();
  private final UpdatePoller poller =
      new UpdatePoller(runtime, locator, dataPlane, applier, memberships::add);

  @BeforeEach
  void primaryIsKnown() {
    locator.adopt(CoreLocatorTest.epoch("f", EPOCH, "p"));
  }

  private WireRecord poll() {
    poller.tick(runtime.now());
    return runtime.takeOnlySent().message();
  }

  /** The header of an answer without newer data. */
  private static PollResponseHeader header(WireRecord poll) {
    return new PollResponseHeader(EPOCH, 3, poll.number("pn"), 0, 0);
  }

  private static PollResponse answer(PollResponseHeader header) {
    return answer(header, null, null);
  }

  private static PollResponse answer(
      PollResponseHeader header, WorkerTableUpdate workers, AssignmentUpdate assignments) {
    return new PollResponse(
        header,
        Optional.empty(),
        Optional.empty(),
        Optional.ofNullable(workers),
        Optional.ofNullable(assignments));
  }

  private static PollResponse answerTo(WireRecord poll) {
    return answer(header(poll));
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
    poller.onAnswer("p", answer(new PollResponseHeader(EPOCH - 1, 3, poll.number("pn"), 0, 0)));
    poller.onAnswer("p", answer(new PollResponseHeader(EPOCH, 3, poll.number("pn") - 1, 0, 0)));

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
  void membershipIsPassedOn() {
    EpochRecord record = CoreLocatorTest.epoch("f", EPOCH, "p");
    FleetSummary fleet = new FleetSummary(Map.of("z", 1), 0, List.of(), Map.of());
    MembershipUpdate update = new MembershipUpdate(record, fleet);

    poller.onAnswer(
        "p",
        new PollResponse(
            header(poll()),
            Optional.of(update),
            Optional.empty(),
            Optional.empty(),
            Optional.empty()));

    assertEquals(List.of(update), memberships);
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
  void nodeIsOutOfTouchAfterTakeoverTimeWithoutAnswer() {
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

    poller.onAnswer("p", answer(new PollResponseHeader(EPOCH, 3, poll.number("pn"), 0, 20)));

    assertEquals(polledAt - 20, poller.configurationFreshAt());
  }

  @Test
  void configurationIsNotFreshWhileNewerRevisionIsMissing() {
    long before = poller.configurationFreshAt();

    poller.onAnswer("p", answer(new PollResponseHeader(EPOCH, 3, poll().number("pn"), 1, 0)));

    assertEquals(before, poller.configurationFreshAt());
  }

  @Test
  void workersUnknownToThePrimaryAreReportedWithTheNextPoll() {
    roster.merge(WorkerRosterTest.worker("w1", WorkerState.IN_SERVICE, 1));
    CompressedBytes emptyTable = new WorkerTable(List.of()).compressed();

    poller.onAnswer(
        "p", answer(header(poll()), WorkerTableUpdate.complete(emptyTable, true), null));

    List<WireRecord> reports = runtime.takeOnlySent().message().records("tell");
    assertEquals(List.of("w1"), reports.stream().map(report -> report.text("id")).toList());
  }

  @Test
  void assignmentsAreAppliedOnce() {
    WireRecord assignment = new WireRecord("assign").with("key", "k");
    AssignmentUpdate update = AssignmentUpdate.incremental(4, List.of(assignment));

    poller.onAnswer("p", answer(header(poll()), null, update));
    WireRecord next = runtime.takeOnlySent().message();
    poller.onAnswer("p", answer(header(next), null, update));

    assertEquals(4, next.number("as"));
    assertEquals(1, dataPlane.assignments.size());
  }

  @Test
  void unreadableTableIsLoggedAndTheRestIsApplied() {
    CompressedBytes damaged = CompressedBytes.of(new byte[] {1, 2, 3});

    poller.onAnswer(
        "p",
        answer(
            header(poll()),
            WorkerTableUpdate.complete(damaged, false),
            AssignmentUpdate.incremental(4, List.of())));

    assertTrue(
        runtime.events().stream()
            .anyMatch(event -> event.startsWith("event=worker_table_unreadable")));
    assertEquals(4, applier.assignmentNumber());
  }
}
