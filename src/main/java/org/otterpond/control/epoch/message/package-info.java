/**
 * The messages between core members about epochs, and the records of epochs in a member's log, with
 * their encoded kinds and field names. The encoded form does not change: members of the version
 * before share a core with this one during a rolling restart.
 *
 * <p>All types are immutable values. Depends on {@code protocol} and {@code control.state}.
 */
package org.otterpond.control.epoch.message;
