package org.otterpond.control.epoch;

/**
 * The time-outs of the core, in microseconds of the monotonic clock.
 *
 * <p>A primary acts on its authority alone only within {@link #authorityMicros} of the moment when
 * it asked backups that then confirmed that they follow it. A successor does the same only once
 * that time has passed since it last confirmed so itself. As the authority is shorter than {@link
 * #primarySilenceMicros}, a takeover after silence has nothing to wait for.
 */
public final class EpochTimeouts {
  /** Several pings fit into each silence, so that one lost message means nothing. */
  private static final long PING_MICROS = 150_000;

  /** Three pings; shorter than the primary's silence, so that the primary acts first. */
  private static final long BACKUP_SILENCE_MICROS = 500_000;

  /** Four pings; longer than the authority and the backups' silence. */
  private static final long PRIMARY_SILENCE_MICROS = 650_000;

  /** A candidacy of an earlier backup usually succeeds within it. */
  private static final long RANK_STEP_MICROS = 250_000;

  /** Above the round trip and a sync; two resends fit into the backups' silence. */
  private static final long RESEND_MICROS = 250_000;

  /** Three round trips with a sync each on a busy machine. */
  private static final long PHASE_MICROS = 900_000;

  /** A sync takes milliseconds; a disk that takes this long is taken as failed. */
  private static final long DISK_STALL_MICROS = 700_000;

  /** Enough for a peer to connect again after a mere reset. */
  private static final long CLOSED_GRACE_MICROS = 250_000;

  /** Below the primary's silence, see above. */
  private static final long AUTHORITY_MICROS = 550_000;

  /** Bounds how long quota tokens granted by a former primary stay in use. */
  private static final long GRANT_LIFETIME_MICROS = 2_000_000;

  /** Four pings; callers ask another node after it. */
  private static final long PROOF_MICROS = 700_000;

  private static final EpochTimeouts STANDARD = new EpochTimeouts();

  private EpochTimeouts() {}

  /** Returns the time-outs of every deployment. */
  public static EpochTimeouts standard() {
    return STANDARD;
  }

  /** Returns how long what a primary grants on its authority is in use at most. */
  public long lent() {
    return GRANT_LIFETIME_MICROS;
  }

  /** Returns the interval of a primary's pings. */
  long pingMicros() {
    return PING_MICROS;
  }

  /** Returns after how long without a response a primary replaces a backup. */
  long backupSilenceMicros() {
    return BACKUP_SILENCE_MICROS;
  }

  /** Returns after how long without a message of the primary the first backup takes over. */
  long primarySilenceMicros() {
    return PRIMARY_SILENCE_MICROS;
  }

  /** Returns by how much each further backup waits longer than the one before it. */
  long rankStepMicros() {
    return RANK_STEP_MICROS;
  }

  /** Returns after how long an unacknowledged batch or notice is sent again. */
  long resendMicros() {
    return RESEND_MICROS;
  }

  /** Returns after how long without progress a candidacy is abandoned. */
  long phaseMicros() {
    return PHASE_MICROS;
  }

  /** Returns after how long a write that has not completed counts as failed. */
  long diskStallMicros() {
    return DISK_STALL_MICROS;
  }

  /** Returns how long a peer that closed its connection has to be heard again. */
  long closedGraceMicros() {
    return CLOSED_GRACE_MICROS;
  }

  /** Returns how long a proof of leadership allows the primary to act without another one. */
  long authorityMicros() {
    return AUTHORITY_MICROS;
  }

  /** Returns how long a caller waits for a proof of leadership at most. */
  long proofMicros() {
    return PROOF_MICROS;
  }
}
