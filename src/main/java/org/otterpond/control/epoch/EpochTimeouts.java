package org.otterpond.control.epoch;

/**
 * The core's time-outs, in microseconds. A primary acts on its authority alone only for {@code
 * authority} after it asked its backups whether they follow it; a successor begins to do the same
 * only when that long has passed since it last said so; what it gives out by that authority is in
 * use for {@code lent} at most; who waits for a proof that it leads waits for {@code proof} at
 * most. The authority is shorter than {@code primarySilence}, so a takeover after silence waits for
 * nothing.
 */
public record EpochTimeouts(
    long ping,
    long backupSilence,
    long primarySilence,
    long rankStep,
    long resend,
    long phase,
    long diskStall,
    long closedGrace,
    long authority,
    long lent,
    long proof) {
  public static EpochTimeouts standard() {
    return new EpochTimeouts(
        150_000, 500_000, 650_000, 250_000, 250_000, 900_000, 700_000, 250_000, 550_000, 2_000_000,
        700_000);
  }
}
