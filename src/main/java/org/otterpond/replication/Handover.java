package org.otterpond.replication;

/** A planned handover of the primary's role to a secondary. */
final class Handover {
  private static final int COMMIT_CHECKS = 40;
  private static final long COMMIT_CHECK_MICROS = 25_000;

  private final LocalReplica replica;
  private final ConfigurationProposer proposer;
  private final PrimaryStatus status;
  private final Runnable servingChanged;

  Handover(
      LocalReplica replica,
      ConfigurationProposer proposer,
      PrimaryStatus status,
      Runnable servingChanged) {
    this.replica = replica;
    this.proposer = proposer;
    this.status = status;
    this.servingChanged = servingChanged;
  }

  /** Stops serving, waits for the work in flight, then proposes a secondary as primary. */
  void start() {
    status.handingOver = true;
    servingChanged.run();
    replica.stateMachine().quiesce(() -> proposeOnceCommitted(COMMIT_CHECKS));
  }

  private void proposeOnceCommitted(int checksLeft) {
    if (!replica.isPrimary() || !status.handingOver) {
      return;
    }
    PreparedList preparedList = replica.preparedList();
    boolean committed = preparedList.committedPoint() >= preparedList.lastSerial();
    if (!committed && checksLeft > 0) {
      replica.runtime().after(COMMIT_CHECK_MICROS, () -> proposeOnceCommitted(checksLeft - 1));
      return;
    }
    GroupConfiguration next = replica.configuration().withPrimary(successor());
    proposer.proposeNow(next, this::onOutcome);
  }

  private String successor() {
    GroupConfiguration configuration = replica.configuration();
    return configuration.wanted().stream()
        .filter(member -> configuration.secondaries().contains(member))
        .findFirst()
        .orElse(configuration.secondaries().get(0));
  }

  private void onOutcome(GroupConfiguration installed) {
    if (installed == null) {
      // The proposal may be in force: nothing is served before that is known.
      replica.runtime().after(ConfigurationProposer.RETRY_MICROS, () -> proposeOnceCommitted(0));
      return;
    }
    installed.secondaries().forEach(member -> replica.sendConfiguration(member, installed));
    replica.sendConfiguration(installed.primary(), installed);
    proposer.adopt(installed);
    if (installed.primary().equals(replica.member())) {
      status.handingOver = false;
      servingChanged.run();
    }
  }
}
