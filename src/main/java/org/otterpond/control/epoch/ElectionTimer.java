package org.otterpond.control.epoch;

/** When this node last heard of a primary, and from when on it may become a candidate. */
final class ElectionTimer {
  private static final long FIRST_DELAY_MICROS = 20_000;
  private static final long FIRST_SPREAD_MICROS = 30_000;

  /** The first primary has all seeds at its side; the others wait for it. */
  private static final long FOUNDING_PRIMARY_DELAY_MICROS = 200_000;

  private static final long FOUNDING_OTHERS_DELAY_MICROS = 800_000;

  /** Above a round trip with a sync, and spread so that two candidates do not go on in step. */
  private static final long RETRY_DELAY_MICROS = 150_000;

  private static final long RETRY_SPREAD_MICROS = 400_000;
  private static final long YIELD_SPREAD_MICROS = 300_000;

  /** The successor of a resigned primary has begun by then. */
  private static final long RESIGNED_DELAY_MICROS = 2_500_000;

  private final EpochContext context;
  private long primaryHeardAt;
  private long earliestCandidacyAt;

  ElectionTimer(EpochContext context) {
    this.context = context;
    this.primaryHeardAt = context.now();
    this.earliestCandidacyAt =
        context.now() + FIRST_DELAY_MICROS + context.runtime().random(FIRST_SPREAD_MICROS);
  }

  /** How long nothing has been heard of a primary or of a candidate in its place. */
  long silence(long now) {
    return now - primaryHeardAt;
  }

  boolean allowsCandidacy(long now) {
    return now >= earliestCandidacyAt;
  }

  void heardPrimary() {
    primaryHeardAt = context.now();
  }

  /** The primary closed its connection: it has a short time to be heard again. */
  void primaryConnectionClosed() {
    EpochTimeouts timeouts = context.timeouts();
    primaryHeardAt =
        Math.min(
            primaryHeardAt,
            context.now() - timeouts.primarySilenceMicros() + timeouts.closedGraceMicros());
  }

  void founded(boolean namedPrimary) {
    primaryHeardAt = context.now();
    earliestCandidacyAt =
        context.now()
            + (namedPrimary ? FOUNDING_PRIMARY_DELAY_MICROS : FOUNDING_OTHERS_DELAY_MICROS);
  }

  void resigned() {
    earliestCandidacyAt = context.now() + RESIGNED_DELAY_MICROS;
  }

  void candidacyAbandoned() {
    earliestCandidacyAt =
        context.now() + RETRY_DELAY_MICROS + context.runtime().random(RETRY_SPREAD_MICROS);
  }

  /** An epoch was promised to a candidate, which has the time of a candidacy. */
  void promised() {
    primaryHeardAt = context.now();
    earliestCandidacyAt = yieldUntil();
  }

  /** The candidacy of another member goes on. */
  void candidateActive() {
    primaryHeardAt = context.now();
    earliestCandidacyAt = Math.max(earliestCandidacyAt, yieldUntil());
  }

  private long yieldUntil() {
    return context.now()
        + context.timeouts().phaseMicros()
        + context.runtime().random(YIELD_SPREAD_MICROS);
  }
}
