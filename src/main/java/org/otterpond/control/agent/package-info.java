/**
 * The control-plane agent that every node runs: it finds the core, polls the primary for updates,
 * forwards heartbeats and requests, and caches quota tokens.
 *
 * <p>All types are used by the node's owner thread only. The package depends on the primary's
 * services, the epoch protocol and the replicated state below it, and reaches the network, the disk
 * and the clock only through {@link org.otterpond.runtime.NodeRuntime}.
 */
package org.otterpond.control.agent;
