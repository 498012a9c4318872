/**
 * Epochs of the core: which member is primary, which are its backups, and what is replicated to
 * them.
 *
 * <p>{@link org.otterpond.control.epoch.EpochReplica} is what other packages use. Inside, {@link
 * org.otterpond.control.epoch.EpochTransitions} owns every change of role, and each role is a class
 * with its own fields: {@link org.otterpond.control.epoch.Witness} (every member), {@link
 * org.otterpond.control.epoch.CandidateRole}, {@link org.otterpond.control.epoch.PrimaryRole} and
 * {@link org.otterpond.control.epoch.BackupRole}. {@link
 * org.otterpond.control.epoch.DurableVoteState} is what a member has promised and accepted.
 *
 * <p>All types are confined to the owner thread of the node's {@code NodeRuntime}; none is
 * thread-safe. Depends on {@code control.state}, {@code runtime} and {@code protocol}. Times are
 * microseconds of the node's monotonic clock.
 */
package org.otterpond.control.epoch;
