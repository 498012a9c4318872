package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/**
 * A frame that takes longer on its way than a silent peer is given arrives all the same. Waits on
 * real sockets.
 */
class SlowPeerConnectionTest {
  /** More than the kernel takes off the sender's hands. */
  private static final int FRAME = 9_000_000;

  private static final int BYTES_PER_TURN = 64_000;
  private static final long TURN_NANOS = 20_000_000;

  private static String freePoint() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + s.getLocalPort();
    }
  }

  private static EventLoop owner() throws IOException {
    EventLoop q = new EventLoop();
    thread(q);
    return q;
  }

  private static void thread(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    t.start();
  }

  /** Carries bytes to the target at 3 MB/s at the most, and back at once. */
  private static String narrow(String target) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(BYTES_PER_TURN);
    server.bind(PeerTransport.address(freePoint()));
    thread(
        () -> {
          try (Socket in = server.accept();
              Socket out = new Socket()) {
            out.connect(PeerTransport.address(target));
            thread(() -> copy(out, in, 0));
            copy(in, out, TURN_NANOS);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void copy(Socket from, Socket to, long turn) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] b = new byte[BYTES_PER_TURN];
      for (int n = in.read(b); n >= 0; n = in.read(b)) {
        out.write(b, 0, n);
        LockSupport.parkNanos(turn);
      }
      to.close();
    } catch (IOException e) {
      // One of the two ends is gone.
    }
  }

  @Test
  void longFrameOnANarrowWayArrives() throws Exception {
    EventLoop a = owner();
    EventLoop b = owner();
    LinkedBlockingQueue<Integer> arrived = new LinkedBlockingQueue<>();
    String to = freePoint();
    PeerTransport sender =
        new PeerTransport(a, freePoint(), (from, f) -> {}, (peer, never, n) -> {});
    new PeerTransport(
        b, to, (from, f) -> arrived.add(f.bytes("text").length), (peer, never, n) -> {});
    String way = narrow(to);
    a.execute(() -> sender.send(way, new WireRecord("news").with("text", new byte[FRAME])));
    Integer got = arrived.poll(20, TimeUnit.SECONDS);
    a.stop();
    b.stop();
    assertNotNull(got, "the connection was given up");
    assertEquals(FRAME, got);
  }
}
