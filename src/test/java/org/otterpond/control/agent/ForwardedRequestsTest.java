package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

class ForwardedRequestsTest {
  private static final long TIMEOUT = 900 * MILLIS;
  private static final long RESEND = 300 * MILLIS;

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final List<WireRecord> answers = new ArrayList<>();
  private String primary = "p1";
  private final ForwardedRequests requests =
      new ForwardedRequests(runtime, () -> primary, /* lastRequestId= */ 100);

  private long requestToPrimary() {
    requests.toPrimary(new WireRecord("ask"), TIMEOUT, RESEND, answers::add);
    return runtime.takeOnlySent().message().number("rid");
  }

  private void requestOnceTo(String node) {
    requests.toNodeOnce(node, new WireRecord("m.put"), TIMEOUT, answers::add);
    runtime.takeOnlySent();
  }

  @Test
  void replyCompletesItsRequestOnce() {
    long requestId = requestToPrimary();
    WireRecord reply = new WireRecord("reply").with("rid", requestId);

    requests.onReply(reply);
    requests.onReply(reply);
    runtime.run(TIMEOUT);

    assertEquals(List.of(reply), answers);
  }

  @Test
  void requestWithoutReplyEndsAtItsTimeout() {
    requestToPrimary();

    runtime.run(TIMEOUT - 1);
    assertTrue(answers.isEmpty());
    runtime.run(1);

    assertEquals(1, answers.size());
    assertNull(answers.get(0));
  }

  @Test
  void overdueRequestIsSentAgainWithItsIdentifier() {
    final long requestId = requestToPrimary();

    runtime.run(RESEND - 1);
    requests.resendOverdue(runtime.now());
    assertTrue(runtime.takeSent().isEmpty());
    runtime.run(1);
    requests.resendOverdue(runtime.now());

    assertEquals(requestId, runtime.takeOnlySent().message().number("rid"));
  }

  @Test
  void onlyRequestsToThePrimaryFollowItsRole() {
    requestToPrimary();
    requestOnceTo("n1");

    primary = "p2";
    requests.resendToPrimary();

    assertEquals("p2", runtime.takeOnlySent().to());
  }

  @Test
  void requestWaitsWhileThePrimaryIsUnknown() {
    primary = null;
    requests.toPrimary(new WireRecord("ask"), TIMEOUT, RESEND, answers::add);
    assertTrue(runtime.takeSent().isEmpty());

    primary = "p1";
    requests.resendToPrimary();

    assertEquals("p1", runtime.takeOnlySent().to());
  }

  @Test
  void requestOnConnectionThatNeverOpenedIsReportedAsUnsent() {
    runtime.connection = 1;
    requestOnceTo("n1");
    runtime.connection = 2;
    requestOnceTo("n1");

    requests.connectionNeverOpened("n1", 1);

    assertEquals(1, answers.size());
    assertEquals("unsent", answers.get(0).text("no"));
  }

  @Test
  void closedConnectionLeavesTheOutcomeOfItsRequestsUnknown() {
    requestOnceTo("n1");
    requestOnceTo("n2");
    requestToPrimary();

    requests.connectionClosed("n1");

    assertEquals(1, answers.size());
    assertNull(answers.get(0));
  }
}
