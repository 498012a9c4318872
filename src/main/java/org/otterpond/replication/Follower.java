package org.otterpond.replication;

/** What the primary knows of one secondary or candidate. Times are in microseconds. */
final class Follower {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Number of the state transfer to a candidate. */
  final long transfer;

  private final boolean candidate;

  /** Whether the candidate has the transferred state durably. */
  boolean copyDurable;

  /**
   * Whether the candidate was proposed as a member. The proposal may come into force until the
   * version has changed, even if it got no answer.
   */
  boolean mayBeMember;

  /** Whether the secondary's prepared list is reconciled in this version. */
  boolean reconciled;

  /** Serial number of the last entry that was sent. */
  long sentSerial;

  /** Serial number up to which all entries are durable there. */
  long acknowledgedSerial;

  /** When the last acknowledged beacon was sent. */
  long beaconSentAt = NEVER;

  /** When entries were last sent. */
  long sentAt;

  /** When it last made progress, or had nothing to do. */
  long progressAt;

  /** When its connection was last lost. */
  long connectionLostAt;

  private Follower(boolean candidate, long transfer) {
    this.candidate = candidate;
    this.transfer = transfer;
  }

  static Follower secondary() {
    return new Follower(false, 0);
  }

  static Follower candidate(long transfer) {
    return new Follower(true, transfer);
  }

  /** Returns whether it is a candidate; otherwise it is a secondary. */
  boolean isCandidate() {
    return candidate;
  }

  /** Returns whether commits of this version must wait for its acknowledgements. */
  boolean countsForCommit() {
    return !candidate || mayBeMember;
  }

  /** Returns whether it lacks entries up to the last one of the primary's list. */
  boolean isBehind(long lastSerial) {
    return (!candidate && !reconciled) || acknowledgedSerial < lastSerial;
  }

  @Override
  public String toString() {
    return (candidate ? "candidate copyDurable=" + copyDurable : "secondary")
        + " reconciled="
        + reconciled
        + " acknowledged="
        + acknowledgedSerial
        + " mayBeMember="
        + mayBeMember;
  }
}
