package org.otterpond.control.epoch;

import org.otterpond.control.epoch.message.FormerAuthority;

/** How long earlier primaries may still act on their authority, and what they granted is in use. */
final class FormerPrimaries {
  private final EpochContext context;

  /** Until then another primary may act on its authority. */
  private long authorityEndsAt;

  /** When, at the latest, the primary before began to make grants that stay in use for a while. */
  private long formerGrantsFrom = EpochContext.DISTANT_PAST;

  /** From then on this node may, as primary, make such grants. */
  private long grantsFrom;

  /** Assumes that the process before this one has just confirmed that it follows a primary. */
  FormerPrimaries(EpochContext context) {
    this.context = context;
    this.authorityEndsAt = context.now() + context.timeouts().authorityMicros();
  }

  long authorityEndsAt() {
    return authorityEndsAt;
  }

  long grantsFrom() {
    return grantsFrom;
  }

  /** When this node may make grants if it becomes primary after another one. */
  private long grantsFromAsSuccessor() {
    return Math.max(authorityEndsAt, formerGrantsFrom + context.timeouts().lent());
  }

  /** This node becomes primary after another one. */
  void becamePrimary() {
    grantsFrom = grantsFromAsSuccessor();
  }

  /** This node confirms to its primary that it follows it. */
  void followed() {
    authorityEndsAt =
        Math.max(authorityEndsAt, context.now() + context.timeouts().authorityMicros());
  }

  /** The primary has resigned and says how long those before it may still act. */
  void resigned(long endsInMicros) {
    authorityEndsAt = context.now() + endsInMicros;
  }

  /** Takes over what the candidate of the coming epoch knows. */
  void update(FormerAuthority formerAuthority) {
    long now = context.now();
    authorityEndsAt = Math.max(authorityEndsAt, now + formerAuthority.endsInMicros());
    formerGrantsFrom = now + formerAuthority.grantsFromInMicros();
  }

  /** What the backups of an epoch of this node have to know. */
  FormerAuthority remaining(boolean isPrimary) {
    long now = context.now();
    long endsIn = Math.max(0, authorityEndsAt - now);
    long grantsFromIn = Math.max(0, (isPrimary ? grantsFrom : grantsFromAsSuccessor()) - now);
    return new FormerAuthority(endsIn, grantsFromIn);
  }

  /** How long until nothing granted before this primary's time can overlap with new grants. */
  long grantsFromInMicros() {
    return Math.max(0, grantsFrom - context.now());
  }
}
