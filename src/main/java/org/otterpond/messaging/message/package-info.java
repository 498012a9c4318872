/**
 * Typed messages and log records of the message store: what edge nodes ask the primary of a
 * partition, the entries that a partition's group replicates, snapshots and beacons.
 *
 * <p>All types are immutable values and may be used on any thread. The package may depend on {@code
 * protocol} only.
 */
package org.otterpond.messaging.message;
