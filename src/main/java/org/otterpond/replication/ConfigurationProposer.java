package org.otterpond.replication;

import java.util.function.Consumer;

/**
 * Proposes configurations to the configuration manager, one at a time, and passes on what is in
 * force (PacificA, section "Reconfiguration, Reconciliation, and Recovery").
 */
final class ConfigurationProposer {
  /** Least time between two proposals. */
  static final long RETRY_MICROS = 200_000;

  /** A proposal that got no answer for this long no longer prevents the next one. */
  private static final long UNANSWERED_MICROS = 4 * RETRY_MICROS;

  private final ReplicaGroupRuntime runtime;
  private final Consumer<GroupConfiguration> adopt;
  private boolean inFlight;
  private long proposedAtMicros;

  ConfigurationProposer(ReplicaGroupRuntime runtime, Consumer<GroupConfiguration> adopt) {
    this.runtime = runtime;
    this.adopt = adopt;
  }

  /** Returns whether a proposal has not been answered. */
  boolean isInFlight() {
    return inFlight;
  }

  /** Forgets an unanswered proposal: a new version began. */
  void onNewVersion() {
    inFlight = false;
  }

  /** Proposes a configuration unless another proposal was made just before. */
  void propose(GroupConfiguration next) {
    long elapsedMicros = runtime.now() - proposedAtMicros;
    if (elapsedMicros < RETRY_MICROS || (inFlight && elapsedMicros < UNANSWERED_MICROS)) {
      return;
    }
    proposeNow(
        next,
        installed -> {
          if (installed != null) {
            adopt.accept(installed);
          }
        });
  }

  /**
   * Proposes a configuration at once.
   *
   * @param outcome gets the configuration in force, or null if there was no clear answer
   */
  void proposeNow(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
    inFlight = true;
    proposedAtMicros = runtime.now();
    runtime.propose(
        next,
        installed -> {
          inFlight = false;
          outcome.accept(installed);
        });
  }

  /** Adopts a configuration that the manager has installed, if it is newer. */
  void adopt(GroupConfiguration installed) {
    adopt.accept(installed);
  }
}
