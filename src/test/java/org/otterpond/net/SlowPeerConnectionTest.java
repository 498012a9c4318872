package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/**
 * A frame that takes longer than the response time-out of a peer is delivered all the same. Runs
 * over real sockets.
 */
class SlowPeerConnectionTest {
  /** More than the kernel takes from the sender. */
  private static final int FRAME_BYTES = 9_000_000;

  private static final int BYTES_PER_STEP = 64_000;
  private static final long STEP_NANOS = 20_000_000;

  private static EventLoop startEventLoop() throws IOException {
    EventLoop eventLoop = new EventLoop();
    LoopbackAddresses.startDaemon(eventLoop);
    return eventLoop;
  }

  /** Starts a relay that carries bytes to the target at 3 MB/s at most, and back at once. */
  private static String startSlowRelay(String target) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(BYTES_PER_STEP);
    server.bind(PeerTransport.address(LoopbackAddresses.unused()));
    LoopbackAddresses.startDaemon(() -> relay(server, target));
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void relay(ServerSocket server, String target) {
    try (Socket in = server.accept();
        Socket out = new Socket()) {
      out.connect(PeerTransport.address(target));
      LoopbackAddresses.startDaemon(() -> copy(out, in, 0));
      copy(in, out, STEP_NANOS);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void copy(Socket from, Socket to, long pauseNanos) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[BYTES_PER_STEP];
      int count = in.read(buffer);
      while (count >= 0) {
        out.write(buffer, 0, count);
        LockSupport.parkNanos(pauseNanos);
        count = in.read(buffer);
      }
      to.close();
    } catch (IOException e) {
      // One of the two ends is gone.
    }
  }

  @Test
  void givenSlowPath_whenLongFrameIsSent_thenItIsDelivered() throws Exception {
    EventLoop senderLoop = startEventLoop();
    EventLoop receiverLoop = startEventLoop();
    LinkedBlockingQueue<Integer> delivered = new LinkedBlockingQueue<>();
    String receiverAddress = LoopbackAddresses.unused();
    final PeerTransport sender =
        new PeerTransport(
            senderLoop,
            LoopbackAddresses.unused(),
            (from, message) -> {},
            (address, neverEstablished, connection) -> {});
    new PeerTransport(
        receiverLoop,
        receiverAddress,
        (from, message) -> delivered.add(message.bytes("text").length),
        (address, neverEstablished, connection) -> {});
    String relay = startSlowRelay(receiverAddress);
    WireRecord message = new WireRecord("news").with("text", new byte[FRAME_BYTES]);
    senderLoop.execute(() -> sender.send(relay, message));
    Integer bytes = delivered.poll(20, TimeUnit.SECONDS);
    senderLoop.stop();
    receiverLoop.stop();
    assertNotNull(bytes, "the connection was given up");
    assertEquals(FRAME_BYTES, bytes);
  }
}
