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

/** Calls of the key range manager to workers, over real sockets. */
class WorkerClientTest {
  private static final byte[] LOOPBACK = {127, 0, 0, 1};
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void serve(ServerSocket server) {
    try {
      while (true) {
        Socket connection = server.accept();
        startDaemon(() -> answer(connection));
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  /**
   * A faulty worker: on a connection used before, it repeats its previous answer in place of the
   * right one.
   */
  private static void answer(Socket connection) {
    try (connection;
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1))) {
      String previous = null;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        boolean release = line.startsWith("POST /-/release");
        if (!release && !line.startsWith("POST /-/grant")) {
          continue;
        }
        skipHeaders(in);
        in.skip(2);
        String own =
            release ? OK.replace("Content", "X-Otterpond-Lease-Transfer: released\r\nContent") : OK;
        connection
            .getOutputStream()
            .write((previous == null ? own : previous).getBytes(StandardCharsets.ISO_8859_1));
        previous = own;
      }
    } catch (IOException e) {
      // The node closed the connection.
    }
  }

  private static void skipHeaders(BufferedReader in) throws IOException {
    String line = in.readLine();
    while (!line.isEmpty()) {
      line = in.readLine();
    }
  }

  private static WorkerClient.Call call(String address, String path) {
    return new WorkerClient.Call(address, "i-1", path, "{}", 2_000_000);
  }

  @Test
  void givenAnsweredGrants_whenReleaseIsSent_thenNoEarlierAnswerIsTakenForItsOwn()
      throws Exception {
    EventLoop eventLoop = new EventLoop();
    startDaemon(eventLoop);
    LinkedBlockingQueue<KeyRangeRuntime.Answer> answers = new LinkedBlockingQueue<>();
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByAddress(LOOPBACK))) {
      startDaemon(() -> serve(server));
      String address = "127.0.0.1:" + server.getLocalPort();
      WorkerClient client = new WorkerClient(eventLoop);
      for (int i = 0; i < 2; i++) {
        eventLoop.execute(() -> client.call(call(address, "/-/grant"), answers::add));
        assertEquals(200, answers.poll(5, TimeUnit.SECONDS).status());
      }

      eventLoop.execute(() -> client.call(call(address, "/-/release"), answers::add));

      KeyRangeRuntime.Answer answer = answers.poll(5, TimeUnit.SECONDS);
      assertEquals(200, answer.status());
      assertEquals("released", answer.token());
    } finally {
      eventLoop.stop();
    }
  }
}
