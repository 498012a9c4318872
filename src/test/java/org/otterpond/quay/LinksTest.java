package org.otterpond.quay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.otterpond.signal.Flag;

/** What a node learns of messages that did not go out. */
class LinksTest {
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
    Quay quay = new Quay();
    LinkedBlockingQueue<String> lost = new LinkedBlockingQueue<>();
    Links links =
        new Links(
            quay,
            freePoint(),
            (from, f) -> {},
            (peer, never, connection) -> lost.add(peer + never));
    String nobody = freePoint();
    Thread t = new Thread(quay, "owner");
    t.setDaemon(true);
    t.start();
    for (int i = 0; i < 3; i++) {
      quay.execute(() -> links.send(nobody, new Flag("poll")));
      String told = lost.poll(5, TimeUnit.SECONDS);
      assertNotNull(told, "message " + i + " is not told as lost");
      assertEquals(nobody + "true", told);
    }
    quay.stop();
  }
}
