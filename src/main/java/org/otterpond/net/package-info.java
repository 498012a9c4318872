/**
 * The network of a node: the event loop, HTTP connections from clients and to workers, and the
 * connections between nodes.
 *
 * <p>Everything here runs on the thread of one {@link org.otterpond.net.EventLoop}, the owner
 * thread of the node; only {@link org.otterpond.net.EventLoop#execute} and {@link
 * org.otterpond.net.EventLoop#stop} may be called on other threads. Listeners and callbacks are
 * called on the owner thread.
 *
 * <p>The package depends on {@code org.otterpond.protocol} and {@code org.otterpond.config}.
 */
package org.otterpond.net;
