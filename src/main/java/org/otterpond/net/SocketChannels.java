package org.otterpond.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/** Ways to end a connection. */
final class SocketChannels {
  private SocketChannels() {}

  /**
   * Closes so that nothing more goes out. An ordinary close leaves what the other side has not got
   * yet to the kernel, which sends it again for minutes: after a cut it would arrive long after
   * whoever sent it has given it up.
   */
  static void discard(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // It is closed just below either way.
    }
    close(channel);
  }

  static void close(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to be done for it.
    }
  }
}
