/**
 * The services of the core's primary: node leases and poll responses, configuration changes, the
 * worker registry, idempotency key locks, drain acknowledgements, quotas, core membership,
 * placement of message replicas, and the runtime of the key range manager.
 *
 * <p>{@link org.otterpond.control.primary.PrimaryServices} assembles them on every node with a core
 * disk; they are active while the node is the primary. All state is owned by the node's owner
 * thread: no type here is thread-safe except immutable values. The package may depend on {@code
 * control.epoch}, {@code control.message}, {@code control.state}, {@code keyrange}, {@code
 * replication} and the layers below them.
 */
package org.otterpond.control.primary;
