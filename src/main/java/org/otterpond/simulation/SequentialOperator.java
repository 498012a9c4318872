package org.otterpond.simulation;

import java.util.function.LongConsumer;

/**
 * An operator that replaces the configuration again and again, each time on top of the newest
 * revision that a read returns.
 */
final class SequentialOperator {
  /** What a read passes on if it had no answer. */
  private static final long NO_REVISION = -1;

  private static final int HTTP_OK = 200;
  private static final int MAX_ATTEMPTS = 4;
  private static final long TIMEOUT_MICROS = 900_000;
  private static final long RETRY_MICROS = 250_000;
  private static final long BACKOFF_MICROS = 100_000;
  private static final int MIN_PAUSE_MICROS = 300_000;
  private static final int PAUSE_SPREAD_MICROS = 400_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private boolean running = true;
  private long nextRevision = 1;

  /** The JSON array of services in every configuration that is written. */
  String services = "[]";

  SequentialOperator(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.world = cluster.world;
  }

  void start() {
    world.schedule(0, this::changeRepeatedly);
  }

  void stop() {
    running = false;
  }

  private void changeRepeatedly() {
    if (running) {
      change(
          () ->
              world.schedule(
                  MIN_PAUSE_MICROS + world.random.nextInt(PAUSE_SPREAD_MICROS),
                  this::changeRepeatedly));
    }
  }

  /** Writes one configuration and then runs the task, whatever became of the write. */
  void change(Runnable then) {
    read(
        current -> {
          if (current == NO_REVISION) {
            then.run();
            return;
          }
          long revision = Math.max(nextRevision, current + 1);
          nextRevision = revision + 1 + world.random.nextInt(3);
          cluster.checker.writeSent(revision);
          write(current, revision, MAX_ATTEMPTS, then);
        });
  }

  private void write(long base, long revision, int attemptsLeft, Runnable then) {
    SimulatedNode node = cluster.randomRunningNode();
    if (node == null || attemptsLeft == 0) {
      then.run();
      return;
    }
    boolean firstAttempt = attemptsLeft == MAX_ATTEMPTS;
    node.agent.ask(
        ControlRequests.replaceConfiguration(base, configuration(base, revision)),
        TIMEOUT_MICROS,
        RETRY_MICROS,
        reply -> {
          if (reply == null) {
            world.schedule(BACKOFF_MICROS, () -> write(base, revision, attemptsLeft - 1, then));
            return;
          }
          if (reply.number("status") == HTTP_OK) {
            cluster.checker.writeAcknowledged(base, revision);
            cluster.checker.accessKeysReplaced(base, revision);
          } else if (firstAttempt) {
            cluster.checker.writeRejected(revision);
          }
          then.run();
        });
  }

  /** A configuration with the access keys of its own revision and of its base. */
  private String configuration(long base, long revision) {
    return "{\"revision\":"
        + revision
        + ",\"route_table\":[],\"service_table\":"
        + services
        + ",\"subscribers\":["
        + "{\"name\":\""
        + TenantClients.TENANT
        + "\",\"access_keys\":[\""
        + InvariantChecker.accessKeyOf(revision)
        + "\",\""
        + InvariantChecker.accessKeyOf(base)
        + "\"],\"rate_per_s\":"
        + TenantClients.RATE_PER_SECOND
        + ",\"burst_size\":"
        + TenantClients.BURST_SIZE
        + "}]}";
  }

  private void read(LongConsumer use) {
    SimulatedNode node = cluster.randomRunningNode();
    if (node == null) {
      use.accept(NO_REVISION);
      return;
    }
    long acknowledgedBefore = cluster.checker.newestAcknowledged();
    node.agent.ask(
        ControlRequests.readConfiguration(),
        TIMEOUT_MICROS,
        RETRY_MICROS,
        reply -> {
          if (reply == null) {
            use.accept(NO_REVISION);
          } else {
            cluster.checker.readReturned(acknowledgedBefore, reply.number("rev"));
            use.accept(reply.number("rev"));
          }
        });
  }
}
