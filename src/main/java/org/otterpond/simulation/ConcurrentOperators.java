package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Operators that write the configuration concurrently, on one base revision, and others that read
 * it.
 */
final class ConcurrentOperators {
  private static final int MAX_CONCURRENT_WRITES = 8;
  private static final int MAX_ATTEMPTS = 6;
  private static final int PADDING_CHARS = 90_000;
  private static final int RADIX = 36;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final OperatorClient client;
  private final Random random;
  private final boolean writeStorm;
  private boolean running = true;
  private int lastMarker;

  /**
   * Creates the operators, which do nothing yet.
   *
   * @param writeStorm whether writes follow each other in quick succession
   */
  ConcurrentOperators(
      SimulatedCluster cluster, OperatorClient client, Random random, boolean writeStorm) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.client = client;
    this.random = random;
    this.writeStorm = writeStorm;
    client.onConfirmed = this::confirmed;
  }

  void start() {
    world.schedule(0, this::writeRepeatedly);
    world.schedule(0, this::readRepeatedly);
  }

  void stop() {
    running = false;
  }

  /** At times another operator has waited for the confirmed write and sends its own at once. */
  private void confirmed() {
    if (running && random.nextInt(4) == 0) {
      world.schedule(random.nextInt(10_000), this::writeConcurrently);
    }
  }

  private void writeRepeatedly() {
    if (!running) {
      return;
    }
    writeConcurrently();
    long pauseMicros =
        writeStorm ? 20_000 + random.nextInt(120_000) : 60_000 + random.nextInt(700_000);
    world.schedule(pauseMicros, this::writeRepeatedly);
  }

  private void readRepeatedly() {
    if (running) {
      client.read();
      world.schedule(20_000 + random.nextInt(200_000), this::readRepeatedly);
    }
  }

  /** Sends several writes on one base, some of them the same write from two operators. */
  private void writeConcurrently() {
    long base = client.newestSeen();
    if (base > 0 && random.nextInt(12) == 0) {
      // An operator that has not read the configuration for a while.
      base -= random.nextInt((int) Math.min(base, 4));
    }
    int count =
        writeStorm && random.nextInt(4) > 0 ? 1 : 2 + random.nextInt(MAX_CONCURRENT_WRITES - 1);
    long revision = base + 1 + random.nextInt(3);
    List<ConfigurationWrite> writes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      writes.add(
          i > 0 && random.nextInt(3) == 0
              ? writes.get(random.nextInt(i))
              : randomWrite(base, revision));
    }
    int spreadMicros = random.nextInt(4) == 0 ? 1_500_000 : 30_000;
    for (ConfigurationWrite write : writes) {
      world.schedule(random.nextInt(spreadMicros), () -> client.send(write, MAX_ATTEMPTS));
    }
  }

  /** A write that mostly has this revision; it modifies only where there is a configuration. */
  private ConfigurationWrite randomWrite(long base, long revision) {
    long ownRevision = random.nextInt(4) == 0 ? revision + 1 + random.nextInt(2) : revision;
    String marker = "o" + ++lastMarker;
    cluster.checker.writeSent(ownRevision);
    return base > 0 && random.nextInt(2) == 0
        ? ConfigurationWrite.modify(base, ownRevision, marker)
        : ConfigurationWrite.replace(
            base, ownRevision, marker, random.nextInt(10) == 0 ? padding() : "");
  }

  /** Random text that hardly compresses, so that the write is large on the network as well. */
  private String padding() {
    StringBuilder text = new StringBuilder();
    while (text.length() < PADDING_CHARS) {
      text.append(Long.toString(random.nextLong() >>> 1, RADIX));
    }
    return text.toString();
  }

  /** Sends a single write on the newest revision that was seen. */
  void writeAlone() {
    client.send(randomWrite(client.newestSeen(), client.newestSeen() + 1), MAX_ATTEMPTS);
  }
}
