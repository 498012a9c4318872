package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;

/**
 * The owner's totals with nodes that lose answers, hoard tokens, let them expire or return them.
 */
class QuotaOwnerTest {
  private static final QuotaSettings SETTINGS = new QuotaSettings(5_000_000, 0.1, 20, 2_000_000);
  private static final double RATE = 40;
  private static final double BURST = 30;

  /** A node that uses its tokens as the real one does: the oldest first, none after it expired. */
  private static final class HoardingNode {
    final long life;
    final ArrayDeque<long[]> grants = new ArrayDeque<>();
    long used;
    long returned;

    HoardingNode(long life) {
      this.life = life;
    }

    void prune(long now) {
      while (!grants.isEmpty() && grants.peekFirst()[0] <= now) {
        used += grants.pollFirst()[1];
      }
    }

    int held(long now) {
      prune(now);
      return grants.stream().mapToInt(l -> (int) l[1]).sum();
    }

    int spend(long now, int most) {
      prune(now);
      int n = 0;
      while (n < most && !grants.isEmpty()) {
        if (--grants.peekFirst()[1] == 0) {
          grants.pollFirst();
        }
        n++;
      }
      used += n;
      return n;
    }
  }

  private static QuotaOwner owner(long now) throws ConfigException {
    QuotaOwner c = new QuotaOwner(SETTINGS);
    c.configure(
        ConfigurationParser.read(
            JsonFields.parse(
                "{\"revision\":1,\"route_table\":[],\"service_table\":[],"
                    + "\"subscribers\":[{\"name\":\"t\",\"access_keys\":[\"k\"],\"rate_per_s\":"
                    + RATE
                    + ",\"burst_size\":"
                    + BURST
                    + "}]}")),
        now);
    return c;
  }

  private static TokenGrant lend(
      QuotaOwner owner, long life, long used, long returned, int need, int spare, long now) {
    return owner.lend(life, new TokenDemand("t", used, returned, need, spare), now);
  }

  @Test
  void givenHoardingNodes_whenTokensAreLent_thenOutstandingAndWindowsStayInBounds()
      throws ConfigException {
    for (long seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      QuotaOwner owner = owner(0);
      List<HoardingNode> nodes = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        nodes.add(new HoardingNode(i));
      }
      List<Long> runs = new ArrayList<>();
      int most = SETTINGS.maxOutstanding(RATE, BURST);
      int highest = 0;
      for (long now = 0; now < 30_000_000; now += 1_000 + random.nextInt(4_000)) {
        HoardingNode n = nodes.get(random.nextInt(nodes.size()));
        n.prune(now);
        TokenGrant lent =
            lend(owner, n.life, n.used, n.returned, 1 + random.nextInt(3), random.nextInt(3), now);
        // One answer in ten is lost, and a node may be slow to take one in: it counts from when it
        // asked.
        if (lent.count() > 0 && random.nextInt(10) > 0) {
          n.grants.addLast(
              new long[] {
                now - random.nextInt(20_000) + SETTINGS.tokenLeaseMicros(), lent.count()
              });
        }
        // Some hoard for seconds, then spend all at once.
        if (random.nextInt(now % 7_000_000 < 3_000_000 ? 40 : 3) == 0) {
          for (int k = n.spend(now, 100); k > 0; k--) {
            runs.add(now);
          }
        }
        int out = 0;
        for (HoardingNode h : nodes) {
          out += h.held(now);
        }
        highest = Math.max(highest, out);
        assertTrue(
            out <= most,
            "seed " + seed + ": " + out + " tokens unspent, the owner's part is " + most);
      }
      assertTrue(highest > most / 2, "the bound was never near: " + highest + " of " + most);
      assertTrue(runs.size() > 3 * RATE, "though nodes hoard, much is used: " + runs.size());
      int from = 0;
      for (int to = 0; to < runs.size(); to++) {
        while (runs.get(to) - runs.get(from) > 5_000_000) {
          from++;
        }
        assertTrue(to - from + 1 <= RATE * 5 + BURST + most, "window of " + (to - from + 1));
      }
    }
  }

  @Test
  void givenReportedTotals_whenReportsAreLateOrRepeated_thenNothingChanges()
      throws ConfigException {
    QuotaOwner owner = owner(0);
    long now = 10_000_000;
    assertEquals(4, lend(owner, 1, 0, 0, 4, 0, now).count());
    lend(owner, 1, 3, 2, 0, 0, now);
    lend(owner, 1, 3, 2, 0, 0, now);
    lend(owner, 1, 1, 0, 0, 0, now);
    // 30 tokens, 4 lent, 2 given back; 1 is out.
    assertEquals(28, owner.status(now).get(0).tokens());
    assertEquals(1, owner.status(now).get(0).outstanding());
    assertEquals(0, owner.status(now + 2_100_000).get(0).outstanding(), "what is out expires");
  }

  @Test
  void givenNewOwner_whenTokensAreAskedFor_thenBucketIsEmptyAtFirst() throws ConfigException {
    QuotaOwner owner = owner(5_000_000);
    assertTrue(lend(owner, 1, 0, 0, 1, 0, 5_000_000).overQuota());
    assertEquals(2, lend(owner, 1, 0, 0, 9, 0, 5_050_000).count());
  }
}
