/**
 * Typed messages between the control-plane agent of a node and the core: discovery, polls and their
 * responses, requests to the primary and the replies to them.
 *
 * <p>All types are immutable values and may be used on any thread. The package may depend on {@code
 * protocol}, {@code replication} and {@code control.state} only.
 */
package org.otterpond.control.message;
