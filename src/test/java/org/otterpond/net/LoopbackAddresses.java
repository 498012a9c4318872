package org.otterpond.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Addresses of this machine for tests. */
final class LoopbackAddresses {
  private LoopbackAddresses() {}

  /** Returns an address, as host:port, on which nobody listens now. */
  static String unused() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  /** Starts a daemon thread. */
  static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "test-daemon");
    thread.setDaemon(true);
    thread.start();
  }
}
