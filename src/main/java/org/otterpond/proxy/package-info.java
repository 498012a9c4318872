/**
 * The data path: admits client requests, routes them to a service, selects a worker, forwards the
 * request, retries it where that is safe, and writes the response.
 *
 * <p>Everything runs on the owner thread, the node's {@link org.otterpond.net.EventLoop}; no type
 * of this package may be used from another thread. The counters of {@link ProxyMetrics} may be read
 * from any thread.
 *
 * <p>The package may depend on the control-plane agent and the packages below it, not on messaging:
 * requests to asynchronous routes go through the interface {@link MessageRequestHandler}.
 */
package org.otterpond.proxy;
