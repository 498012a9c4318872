package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.QuotaAccount;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;

class QuotaLendingTest implements QuotaLending.Authority {
  private static final long TERM = 64;

  private final ManualRuntime runtime = new ManualRuntime();
  private final long lendingFrom = runtime.now();
  private final QuotaOwner owner = new QuotaOwner(new QuotaSettings(5_000_000, 0.1, 20, 2_000_000));
  private final QuotaLending lending = new QuotaLending(runtime, this, owner);

  @Override
  public boolean mayLend() {
    return true;
  }

  @Override
  public long lendingFromMicros() {
    return lendingFrom;
  }

  @BeforeEach
  void configure() throws ConfigException {
    lending.beginTerm(TERM);
    owner.configure(
        ConfigurationParser.read(
            JsonFields.parse(
                "{\"revision\":1,\"route_table\":[],\"service_table\":[],\"subscribers\":["
                    + "{\"name\":\"t\",\"access_keys\":[\"k\"],\"rate_per_s\":40,"
                    + "\"burst_size\":30}]}")),
        runtime.now());
  }

  private TokenGrant lend(long term, long used, int needed) {
    TokenDemand demand = new TokenDemand("t", used, 0, needed, 0);
    return lending.lend(new QuotaAccount(List.of(demand), 7, term), demand);
  }

  @Test
  void givenNewOwner_whenBucketIsEmpty_thenTenantIsNotOverQuotaYet() {
    assertFalse(lend(TERM, 0, 1).overQuota());
    runtime.run(1_000_001);
    assertEquals(14, lend(TERM, 0, 14).count());
    assertEquals(14, lend(TERM, 14, 14).count());
    assertTrue(lend(TERM, 28, 14).overQuota(), "30 tokens are lent");
  }

  @Test
  void givenTotalsOfAnotherTerm_whenTokensAreLent_thenTotalsAreIgnored() {
    // given
    runtime.run(1_000_001);
    lend(TERM, 0, 4);

    // when
    lend(TERM - 1, 4, 0);
    final long outstandingAfterOtherTerm = owner.status(runtime.now()).get(0).outstanding();
    lend(TERM, 4, 0);

    // then
    assertEquals(4, outstandingAfterOtherTerm);
    assertEquals(0, owner.status(runtime.now()).get(0).outstanding());
  }
}
