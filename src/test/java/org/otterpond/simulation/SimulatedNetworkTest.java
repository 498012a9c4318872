package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class SimulatedNetworkTest {
  private static final int PADDING_CHARS = 40_000;

  /** Random text that hardly compresses. */
  private static String padding(Random random) {
    StringBuilder text = new StringBuilder();
    while (text.length() < PADDING_CHARS) {
      text.append(Long.toString(random.nextLong() >>> 1, 36));
    }
    return text.toString();
  }

  @Test
  void bandwidthLimitDelaysLargeConfiguration() {
    SimulatedCluster cluster = new SimulatedCluster(5, 3, 2, 1);
    cluster.world.network.limitBandwidth("n1:1", 60_000);
    cluster.world.run(9_000_000);
    long[] activatedMicros = {0};
    cluster.node("n1:1").onConfigured = configuration -> activatedMicros[0] = cluster.world.now();
    Random random = new Random(1);
    String padding = padding(random);
    OperationHistory history = new OperationHistory(cluster.world::now);
    OperatorClient client = new OperatorClient(cluster, history, random, 0, 9);

    cluster.checker.writeSent(1);
    final long sentMicros = cluster.world.now();
    client.send(ConfigurationWrite.replace(0, 1, "wide", padding), 3);
    cluster.world.run(30_000_000);

    long delayMicros = activatedMicros[0] - sentMicros;
    assertTrue(delayMicros > 400_000 && delayMicros < 2_000_000, "after " + delayMicros);
  }
}
