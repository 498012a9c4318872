package org.otterpond.proxy;

import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.net.WorkerConnectionPool;

/** Opens connection pools to workers. */
final class WorkerConnectionPools {
  private WorkerConnectionPools() {}

  /**
   * Opens a pool whose connections accept a response only if it brings back the attempt id of the
   * request.
   *
   * @throws MalformedAddressException if the address is not of the form {@code host:port}
   */
  static WorkerConnectionPool open(EventLoop eventLoop, String address, long maxResponseBytes)
      throws MalformedAddressException {
    try {
      return new WorkerConnectionPool(
          eventLoop, PeerTransport.address(address), maxResponseBytes, GatewayHeaders.ATTEMPT_ID);
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new MalformedAddressException(address, e);
    }
  }
}
