package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;
import static org.otterpond.control.agent.RecordingRuntime.SECONDS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.LendTokensReply;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;
import org.otterpond.protocol.WireRecord;

class QuotaCacheTest {
  private static final String TENANT = "acme";
  private static final long TERM = 5;
  private static final long LENDING = 2 * SECONDS;
  private static final long COLLECT = 2 * MILLIS;

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final ForwardedRequests requests = new ForwardedRequests(runtime, () -> "p", 0);
  private final QuotaCache cache = new QuotaCache(runtime, requests, /* life */ 9, LENDING);
  private final List<String> outcomes = new ArrayList<>();

  private QuotaCache.Taker caller(String name, boolean waits) {
    return new QuotaCache.Taker() {
      @Override
      public boolean waits() {
        return waits;
      }

      @Override
      public void taken() {
        outcomes.add(name + " taken");
      }

      @Override
      public void over(double retryAfter) {
        outcomes.add(name + " over " + retryAfter);
      }
    };
  }

  private static TokenGrant grant(int count, long retryAfterMicros) {
    return new TokenGrant(TENANT, count, retryAfterMicros, /* overQuota= */ false);
  }

  private void reply(WireRecord request, TokenGrant grant) {
    WireRecord reply = new LendTokensReply(TERM, List.of(grant)).toWireRecord();
    requests.onReply(reply.with("rid", request.number("rid")));
  }

  @Test
  void tokensServeWaitingCallersInOrderAndSkipThoseThatGaveUp() {
    cache.acquire(TENANT, caller("a", true));
    cache.acquire(TENANT, caller("b", false));
    cache.acquire(TENANT, caller("c", true));
    runtime.run(COLLECT);
    WireRecord request = runtime.takeOnlySent().message();

    reply(request, grant(2, 0));

    assertEquals(2, request.records("tenants").get(0).number("need"));
    assertEquals(List.of("a taken", "c taken"), outcomes);
  }

  @Test
  void callersOverTheQuotaLearnWhenToRetry() {
    cache.acquire(TENANT, caller("a", true));
    runtime.run(COLLECT);

    reply(
        runtime.takeOnlySent().message(),
        new TokenGrant(TENANT, 0, SECONDS, /* overQuota= */ true));

    assertEquals(List.of("a over 1.0"), outcomes);
  }

  @Test
  void ownerIsAskedAgainWhileCallersWait() {
    cache.acquire(TENANT, caller("a", true));
    runtime.run(COLLECT);
    reply(runtime.takeOnlySent().message(), grant(0, 50 * MILLIS));

    runtime.run(50 * MILLIS - 1);
    assertTrue(runtime.takeSent().isEmpty());
    runtime.run(1);

    assertEquals("lend", runtime.takeOnlySent().message().text("op"));
  }

  @Test
  void tokenIsNotUsedAfterTheLendingTime() {
    cache.lent(TERM, grant(2, 0), runtime.now(), false);
    runtime.run(LENDING - 1);
    assertTrue(cache.take(TENANT));

    runtime.run(1);

    assertFalse(cache.take(TENANT));
    assertEquals(2, cache.demand(TENANT, 1).used());
  }

  @Test
  void tokensAndTotalsOfFormerOwnerAreDropped() {
    cache.lent(TERM, grant(2, 0), runtime.now(), false);
    assertTrue(cache.take(TENANT));

    cache.lent(TERM + 1, grant(0, 0), runtime.now(), false);

    assertFalse(cache.take(TENANT));
    assertEquals(0, cache.demand(TENANT, 1).used());
    assertEquals(TERM + 1, cache.account(List.of()).term());
  }

  @Test
  void idleTokensAreReturned() {
    cache.lent(TERM, grant(3, 0), runtime.now(), false);

    runtime.run(LENDING / 2 + 1);
    cache.sweep();

    TokenDemand demand = cache.demand(TENANT, 0);
    assertEquals(3, demand.used());
    assertEquals(3, demand.returned());
  }

  @Test
  void reserveIsWantedOnlyUnderSteadyUse() {
    cache.lent(TERM, grant(20, 0), runtime.now(), false);
    assertTrue(cache.take(TENANT));
    assertEquals(0, cache.demand(TENANT, 0).spare());

    while (cache.take(TENANT)) {
      runtime.run(MILLIS);
    }

    assertEquals(4, cache.demand(TENANT, 0).spare());
  }

  @Test
  void retryTimesStayWithinTheirBounds() {
    assertEquals(0.3, QuotaCache.retryAfter(grant(0, 0)));
    assertEquals(5, QuotaCache.retryAfter(grant(0, 60 * SECONDS)));
    assertEquals(20 * MILLIS, QuotaCache.pause(grant(0, 0)));
    assertEquals(120 * MILLIS, QuotaCache.pause(grant(0, SECONDS)));
  }

  @Test
  void malformedReplyIsLoggedAndTheOwnerAskedAgain() {
    cache.acquire(TENANT, caller("a", true));
    runtime.run(COLLECT);
    WireRecord request = runtime.takeOnlySent().message();

    requests.onReply(new WireRecord("reply").with("rid", request.number("rid")));
    runtime.run(COLLECT);

    assertTrue(runtime.events().get(0).startsWith("event=malformed_message"));
    assertEquals("lend", runtime.takeOnlySent().message().text("op"));
  }
}
