package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/** What a node learns of messages that did not go out. */
class PeerTransportTest {
  private static String freePoint() throws Exception {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + s.getLocalPort();
    }
  }

  /**
   * After a start of everything, a poll sent just after a refused connection must not be taken for
   * one under way.
   */
  @Test
  void everyMessageThatMeetsNoListenerIsToldAsLost() throws Exception {
    EventLoop eventLoop = new EventLoop();
    LinkedBlockingQueue<String> lost = new LinkedBlockingQueue<>();
    PeerTransport links =
        new PeerTransport(
            eventLoop,
            freePoint(),
            (from, f) -> {},
            (peer, never, connection) -> lost.add(peer + never));
    String nobody = freePoint();
    Thread t = new Thread(eventLoop, "owner");
    t.setDaemon(true);
    t.start();
    for (int i = 0; i < 3; i++) {
      eventLoop.execute(() -> links.send(nobody, new WireRecord("poll")));
      String told = lost.poll(5, TimeUnit.SECONDS);
      assertNotNull(told, "message " + i + " is not told as lost");
      assertEquals(nobody + "true", told);
    }
    eventLoop.stop();
  }
}
