package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a failed request to a worker proves, for each {@link RequestProgress} and end of the
 * connection. Runs over real sockets.
 */
class WorkerConnectionStatesTest {
  private static final String ID = "X-Id";
  private static final String SENT = "failed, may have arrived";
  private static final String UNSENT = "failed, not sent";

  /** For the tests in which the connection is not established in time. */
  private static final long SHORT_CONNECT_MICROS = 300_000;

  private final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private EventLoop eventLoop;
  private Thread owner;
  private ServerSocket worker;
  private WorkerConnectionPool pool;

  private long connectMicros = 5_000_000;

  @BeforeEach
  void start() throws IOException {
    eventLoop = new EventLoop();
    owner = new Thread(eventLoop, "owner");
    owner.setDaemon(true);
    owner.start();
    listen(50);
  }

  @AfterEach
  void stop() throws IOException {
    eventLoop.stop();
    worker.close();
  }

  private void listen(int backlog) throws IOException {
    worker = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    worker.setSoTimeout(5_000);
    pool =
        new WorkerConnectionPool(
            eventLoop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), worker.getLocalPort()),
            1 << 20,
            ID);
  }

  private <T> T onOwner(Callable<T> task) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    Runnable run =
        () -> {
          try {
            done.complete(task.call());
          } catch (Exception e) {
            done.completeExceptionally(e);
          }
        };
    if (Thread.currentThread() == owner) {
      run.run();
    } else {
      eventLoop.execute(run);
    }
    return done.get(5, TimeUnit.SECONDS);
  }

  private WorkerConnection send(String id, int bodyBytes) throws Exception {
    HttpMessage request =
        HttpMessage.request("POST", "/x")
            .header("Host", "h")
            .header(ID, id)
            .body(new byte[bodyBytes]);
    return onOwner(() -> pool.send(request, connectMicros, Long.MAX_VALUE, new OutcomeRecorder()));
  }

  private final class OutcomeRecorder implements ResponseListener {
    @Override
    public void answered(HttpMessage response) {
      String body = new String(response.body(), StandardCharsets.ISO_8859_1);
      outcomes.add(response.status() + " " + body);
    }

    @Override
    public void failed(boolean written, String why) {
      outcomes.add(written ? SENT : UNSENT);
    }
  }

  private String nextOutcome() throws InterruptedException {
    return outcomes.poll(5, TimeUnit.SECONDS);
  }

  private Socket accept() throws IOException {
    Socket socket = worker.accept();
    socket.setSoTimeout(5_000);
    return socket;
  }

  private static void readRequest(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("ended in " + head);
      }
      head.append((char) next);
    }
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\n"
        + ID
        + ": "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Whether the other side ends the connection, in whatever way. */
  private static boolean ended(Socket socket) {
    try {
      socket.getInputStream().readAllBytes();
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Test
  void givenNoListener_whenSent_thenProvedNotSent() throws Exception {
    worker.close();
    send("a", 10);
    assertEquals(UNSENT, nextOutcome());
  }

  @Test
  void givenConnecting_whenAbandonedOrTimedOut_thenProvedNotSent() throws Exception {
    connectMicros = SHORT_CONNECT_MICROS;
    worker.close();
    listen(1);
    List<Socket> filling = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      filling.add(new Socket(InetAddress.getLoopbackAddress(), worker.getLocalPort()));
    }
    WorkerConnection connection = send("a", 10);
    assertFalse(onOwner(connection::abandon), "abandoned while it connects");
    assertNull(outcomes.poll(), "no outcome after an abandoned request");
    send("b", 10);
    assertEquals(UNSENT, nextOutcome(), "the connection was not established in time");
    for (Socket socket : filling) {
      socket.close();
    }
  }

  /**
   * As after the process was suspended: the connection was established in time, which was noticed
   * only after that time.
   */
  @Test
  void givenConnectionNoticedTooLate_whenSent_thenProvedNotSent() throws Exception {
    connectMicros = SHORT_CONNECT_MICROS;
    CompletableFuture<Boolean> sent = new CompletableFuture<>();
    // Last in the owner's round, so that it handles the connection before the timers, as a process
    // that is resumed does.
    eventLoop.execute(
        () ->
            eventLoop.after(
                0,
                () -> {
                  try {
                    send("a", 10);
                    sent.complete(true);
                    TimeUnit.MILLISECONDS.sleep(400);
                  } catch (Exception e) {
                    sent.completeExceptionally(e);
                  }
                }));
    assertTrue(sent.get(5, TimeUnit.SECONDS));
    Socket socket = accept();
    assertEquals(UNSENT, nextOutcome());
    assertEquals(0, socket.getInputStream().available());
    assertTrue(ended(socket));
  }

  /** The kernel has taken a part; whether or not the worker has read it, it still may. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void givenPartlySent_whenResetOrAbandoned_thenMayHaveArrived(boolean byReset) throws Exception {
    WorkerConnection connection = send("a", 20 << 20);
    Socket socket = accept();
    socket.getInputStream().read();
    if (byReset) {
      reset(socket);
      assertEquals(SENT, nextOutcome());
    } else {
      assertTrue(onOwner(connection::abandon));
      assertThrows(
          IOException.class,
          () -> socket.getInputStream().readAllBytes(),
          "what has not been delivered is dropped");
      socket.close();
    }
  }

  @ParameterizedTest
  @CsvSource({"close", "reset", "silence"})
  void givenSent_whenConnectionEndsOrIsSilent_thenMayHaveArrived(String end) throws Exception {
    WorkerConnection connection = send("a", 10);
    Socket socket = accept();
    readRequest(socket);
    switch (end) {
      case "close" -> socket.close();
      case "reset" -> reset(socket);
      default -> {
        assertTrue(onOwner(connection::abandon));
        assertTrue(ended(socket), "nothing is there for a late response");
        assertNull(outcomes.poll());
        return;
      }
    }
    assertEquals(SENT, nextOutcome());
  }

  @ParameterizedTest
  @CsvSource({"10,true", "10,false", "60,true", "60,false"})
  void givenIncompleteResponse_whenConnectionEnds_thenMayHaveArrived(int bytes, boolean byReset)
      throws Exception {
    send("a", 10);
    Socket socket = accept();
    readRequest(socket);
    write(socket, response("a", "a body of some length").substring(0, bytes));
    if (byReset) {
      reset(socket);
    } else {
      socket.close();
    }
    assertEquals(SENT, nextOutcome());
  }

  /** No request is sent on a connection that ended after its response, so none is lost on it. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void givenIdleConnectionThatEnded_whenSent_thenNewOneIsUsed(boolean byReset) throws Exception {
    send("a", 10);
    Socket socket = accept();
    readRequest(socket);
    write(socket, response("a", "one"));
    assertEquals("200 one", nextOutcome());
    if (byReset) {
      reset(socket);
    } else {
      socket.close();
    }
    send("b", 10);
    Socket next = accept();
    readRequest(next);
    write(next, response("b", "two"));
    assertEquals("200 two", nextOutcome());
  }

  /** To read an idle connection before its use does not show a reset that is still in transit. */
  @Test
  void givenIdleConnection_whenResetUnderNextRequest_thenMayHaveArrived() throws Exception {
    final WorkerConnection first = send("a", 10);
    Socket socket = accept();
    readRequest(socket);
    socket.getInputStream().skipNBytes(10);
    write(socket, response("a", "one"));
    assertEquals("200 one", nextOutcome());
    assertSame(first, send("b", 10), "the idle connection is used");
    socket.getInputStream().read();
    reset(socket);
    assertEquals(SENT, nextOutcome());
  }

  /** As a faulty worker does: it responds twice, and the second response comes late. */
  @Test
  void givenSameIdSentAgain_whenFirstIsAnsweredTwice_thenSecondResponseIsIgnored()
      throws Exception {
    final WorkerConnection first = send("a", 10);
    Socket socket = accept();
    readRequest(socket);
    socket.getInputStream().skipNBytes(10);
    write(socket, response("a", "first run"));
    assertEquals("200 first run", nextOutcome());
    assertNotSame(first, send("a", 10), "a connection that has not carried this id is used");
    Socket other = accept();
    readRequest(other);
    write(socket, response("a", "first run"));
    assertNull(outcomes.poll(200, TimeUnit.MILLISECONDS));
    write(other, response("a", "second run"));
    assertEquals("200 second run", nextOutcome());
  }

  @Test
  void givenInterimOrOtherResponse_whenReceived_thenItIsNotTheResponse() throws Exception {
    send("a", 10);
    Socket socket = accept();
    readRequest(socket);
    socket.getInputStream().skipNBytes(10);
    write(
        socket,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
            + ID
            + ": b\r\n\r\n"
            + response("a", "one"));
    assertEquals("200 one", nextOutcome());
    send("b", 10);
    readRequest(socket);
    write(socket, response("a", "again"));
    assertEquals(SENT, nextOutcome());
    assertTrue(ended(socket));
  }
}
