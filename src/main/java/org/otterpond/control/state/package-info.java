/**
 * The replicated state of the core and the values that the packages of the control plane share.
 *
 * <p>{@link org.otterpond.control.state.ReplicatedState} is the state machine: every member of an
 * epoch's group applies the same {@link org.otterpond.control.state.ReplicatedEntry entries} in the
 * same order. {@link org.otterpond.control.state.EpochRecord} and {@link
 * org.otterpond.control.state.CoreMember} are immutable and name an epoch's primary, backups and
 * members; {@link org.otterpond.control.state.FaultTolerance} chooses them.
 *
 * <p>Mutable types are confined to the owner thread of the node.
 *
 * <p>May depend on {@code protocol} and {@code config}.
 */
package org.otterpond.control.state;
