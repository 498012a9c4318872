/**
 * Assembles a running node: it connects the control plane, the data path and the message store to
 * sockets and disks, serves the control API, and runs the node's life cycle.
 *
 * <p>{@link org.otterpond.server.NodeServer} is the entry point. All state is owned by the node's
 * owner thread, which is the thread of its {@link org.otterpond.net.EventLoop}; methods that other
 * threads (signal handlers) may call say so. The package may depend on every package except {@code
 * client}, {@code simulation}, {@code tools} and {@code cli}.
 */
package org.otterpond.server;
