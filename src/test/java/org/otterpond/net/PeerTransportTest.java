package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/** What a node learns of messages that were not sent. */
class PeerTransportTest {
  /**
   * When all nodes are started at once, a poll sent just after a rejected connection must not be
   * taken for one that is in flight.
   */
  @Test
  void givenNoListener_whenMessagesAreSent_thenEachIsReportedAsLost() throws Exception {
    EventLoop eventLoop = new EventLoop();
    LinkedBlockingQueue<String> lost = new LinkedBlockingQueue<>();
    PeerTransport transport =
        new PeerTransport(
            eventLoop,
            LoopbackAddresses.unused(),
            (from, message) -> {},
            (address, neverEstablished, connection) -> lost.add(address + neverEstablished));
    String nobody = LoopbackAddresses.unused();
    LoopbackAddresses.startDaemon(eventLoop);
    for (int i = 0; i < 3; i++) {
      eventLoop.execute(() -> transport.send(nobody, new WireRecord("poll")));
      String reported = lost.poll(5, TimeUnit.SECONDS);
      assertNotNull(reported, "message " + i + " is not reported as lost");
      assertEquals(nobody + "true", reported);
    }
    eventLoop.stop();
  }
}
