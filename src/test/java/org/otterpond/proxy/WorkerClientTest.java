package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.net.EventLoop;

/** The keeper's calls to workers, over real sockets. */
class WorkerClientTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private static void serve(ServerSocket server) {
    Thread t =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket s = server.accept();
                  Thread c = new Thread(() -> answer(s));
                  c.setDaemon(true);
                  c.start();
                }
              } catch (IOException e) {
                // The test is over.
              }
            });
    t.setDaemon(true);
    t.start();
  }

  /**
   * A worker that stutters: on a connection used before, the answer before comes once more in place
   * of the right one.
   */
  private static void answer(Socket s) {
    try (s;
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1))) {
      String before = null;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        boolean release = line.startsWith("POST /-/release");
        if (!release && !line.startsWith("POST /-/grant")) {
          continue;
        }
        while (!in.readLine().isEmpty()) {
          continue;
        }
        in.skip(2);
        String mine =
            release ? OK.replace("Content", "X-Otterpond-Lease-Transfer: released\r\nContent") : OK;
        s.getOutputStream()
            .write((before == null ? mine : before).getBytes(StandardCharsets.ISO_8859_1));
        before = mine;
      }
    } catch (IOException e) {
      // The node hung up.
    }
  }

  @Test
  void answerToAnEarlierGrantIsNoRelease() throws Exception {
    EventLoop eventLoop = new EventLoop();
    Thread owner = new Thread(eventLoop, "owner");
    owner.setDaemon(true);
    owner.start();
    LinkedBlockingQueue<KeyRangeRuntime.Answer> told = new LinkedBlockingQueue<>();
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
      serve(server);
      String at = "127.0.0.1:" + server.getLocalPort();
      WorkerClient calls = new WorkerClient(eventLoop);
      for (int i = 0; i < 2; i++) {
        eventLoop.execute(() -> calls.call(at, "i-1", "/-/grant", "{}", 2_000_000, told::add));
        assertEquals(200, told.poll(5, TimeUnit.SECONDS).status());
      }
      eventLoop.execute(() -> calls.call(at, "i-1", "/-/release", "{}", 2_000_000, told::add));
      KeyRangeRuntime.Answer a = told.poll(5, TimeUnit.SECONDS);
      assertEquals(200, a.status());
      assertEquals("released", a.token());
    } finally {
      eventLoop.stop();
    }
  }
}
