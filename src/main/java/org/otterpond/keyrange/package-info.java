/**
 * Ownership of the keys of partitioned services: leases of key ranges with fencing tokens, their
 * renewal, release and handover, and the balancing of ranges over workers.
 *
 * <p>{@link org.otterpond.keyrange.KeyRangeManager} runs on the core's primary and is the only one
 * that grants leases; {@link org.otterpond.keyrange.KeyRangeTable} is what every node routes by.
 * All objects are confined to the owner thread of their node. The effects are reached through
 * {@link org.otterpond.keyrange.KeyRangeRuntime}. The package depends on {@code protocol} only.
 */
package org.otterpond.keyrange;
