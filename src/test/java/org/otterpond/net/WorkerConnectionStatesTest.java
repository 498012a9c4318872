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
 * What a request to a worker proves when it fails, in each state of its connection, over real
 * sockets.
 */
class WorkerConnectionStatesTest {
  private static final String ID = "X-Id";
  private static final String SENT = "failed, may have arrived";
  private static final String UNSENT = "failed, not sent";

  /**
   * For the states in which the connection does not come up in its time; the others need one that
   * does.
   */
  private static final long SHORT = 300_000;

  private final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
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
    worker = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    worker.setSoTimeout(5_000);
    pool =
        new WorkerConnectionPool(
            eventLoop, new InetSocketAddress("127.0.0.1", worker.getLocalPort()), 1 << 20, ID);
  }

  private <T> T onOwner(java.util.concurrent.Callable<T> task) throws Exception {
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
    HttpMessage m =
        HttpMessage.request("POST", "/x")
            .header("Host", "h")
            .header(ID, id)
            .body(new byte[bodyBytes]);
    return onOwner(
        () ->
            pool.send(
                m,
                connectMicros,
                Long.MAX_VALUE,
                new ResponseListener() {
                  @Override
                  public void answered(HttpMessage r) {
                    told.add(r.status() + " " + new String(r.body(), StandardCharsets.ISO_8859_1));
                  }

                  @Override
                  public void failed(boolean written, String why) {
                    told.add(written ? SENT : UNSENT);
                  }
                }));
  }

  private String told() throws InterruptedException {
    return told.poll(5, TimeUnit.SECONDS);
  }

  private Socket accept() throws IOException {
    Socket s = worker.accept();
    s.setSoTimeout(5_000);
    return s;
  }

  private static void readRequest(Socket s) throws IOException {
    StringBuilder b = new StringBuilder();
    while (b.indexOf("\r\n\r\n") < 0) {
      int c = s.getInputStream().read();
      if (c < 0) {
        throw new IOException("ended in " + b);
      }
      b.append((char) c);
    }
  }

  private static void write(Socket s, String bytes) throws IOException {
    s.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    s.getOutputStream().flush();
  }

  private static String answer(String id, String body) {
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
  private static boolean ended(Socket s) {
    try {
      s.getInputStream().readAllBytes();
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static void reset(Socket s) throws IOException {
    s.setSoLinger(true, 0);
    s.close();
  }

  @Test
  void notConnectedProvesThatNothingWasSent() throws Exception {
    worker.close();
    send("a", 10);
    assertEquals(UNSENT, told());
  }

  @Test
  void connectingProvesThatNothingWasSent() throws Exception {
    connectMicros = SHORT;
    worker.close();
    listen(1);
    List<Socket> filling = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      filling.add(new Socket("127.0.0.1", worker.getLocalPort()));
    }
    WorkerConnection given = send("a", 10);
    assertFalse(onOwner(given::abandon), "given up while it connects");
    assertNull(told.poll(), "whoever gives up is told nothing more");
    send("b", 10);
    assertEquals(UNSENT, told(), "the connection never came up in its time");
    for (Socket s : filling) {
      s.close();
    }
  }

  /**
   * As after a freeze: the connection came up in time, and was not looked at until its time was
   * over.
   */
  @Test
  void nothingIsSentOnAConnectionThatWasSeenTooLate() throws Exception {
    connectMicros = SHORT;
    CompletableFuture<Boolean> sent = new CompletableFuture<>();
    // Last in the owner's turn, so that it meets the connection before the timers, as a process
    // that wakes does.
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
    Socket s = accept();
    assertEquals(UNSENT, told());
    assertEquals(0, s.getInputStream().available());
    assertTrue(ended(s));
  }

  /** The kernel holds a part and the worker has read none of it: it may yet. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void partWrittenMayHaveArrived(boolean byReset) throws Exception {
    WorkerConnection t = send("a", 20 << 20);
    Socket s = accept();
    s.getInputStream().read();
    if (byReset) {
      reset(s);
      assertEquals(SENT, told());
    } else {
      assertTrue(onOwner(t::abandon));
      assertThrows(
          IOException.class,
          () -> s.getInputStream().readAllBytes(),
          "what is on its way is called back and not sent to the end");
      s.close();
    }
  }

  @ParameterizedTest
  @CsvSource({"close", "reset", "silence"})
  void wholeWrittenMayHaveArrived(String end) throws Exception {
    WorkerConnection t = send("a", 10);
    Socket s = accept();
    readRequest(s);
    switch (end) {
      case "close" -> s.close();
      case "reset" -> reset(s);
      default -> {
        assertTrue(onOwner(t::abandon));
        assertTrue(ended(s), "nobody is there for what comes late");
        assertNull(told.poll());
        return;
      }
    }
    assertEquals(SENT, told());
  }

  @ParameterizedTest
  @CsvSource({"10,true", "10,false", "60,true", "60,false"})
  void partOfAnAnswerIsNone(int bytes, boolean byReset) throws Exception {
    send("a", 10);
    Socket s = accept();
    readRequest(s);
    write(s, answer("a", "a body of some length").substring(0, bytes));
    if (byReset) {
      reset(s);
    } else {
      s.close();
    }
    assertEquals(SENT, told());
  }

  /**
   * A kept connection that ended after its answer carries nothing more, so nothing is lost on it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void keptConnectionThatEndedIsNotUsed(boolean byReset) throws Exception {
    send("a", 10);
    Socket s = accept();
    readRequest(s);
    write(s, answer("a", "one"));
    assertEquals("200 one", told());
    if (byReset) {
      reset(s);
    } else {
      s.close();
    }
    send("b", 10);
    Socket next = accept();
    readRequest(next);
    write(next, answer("b", "two"));
    assertEquals("200 two", told());
  }

  /** The look at a kept connection says nothing of a reset that is still under way. */
  @Test
  void keptConnectionResetUnderTheNextRequestProvesNothing() throws Exception {
    WorkerConnection first = send("a", 10);
    Socket s = accept();
    readRequest(s);
    s.getInputStream().skipNBytes(10);
    write(s, answer("a", "one"));
    assertEquals("200 one", told());
    assertSame(first, send("b", 10), "the kept connection is used");
    s.getInputStream().read();
    reset(s);
    assertEquals(SENT, told());
  }

  /**
   * As a worker in trouble does: the same request came again, and the second answer to the first is
   * late.
   */
  @Test
  void secondAnswerToTheSameIdIsNotTakenForTheNextRun() throws Exception {
    WorkerConnection first = send("a", 10);
    Socket s = accept();
    readRequest(s);
    s.getInputStream().skipNBytes(10);
    write(s, answer("a", "first run"));
    assertEquals("200 first run", told());
    assertNotSame(first, send("a", 10), "it goes on a connection that has not carried this id");
    Socket other = accept();
    readRequest(other);
    write(s, answer("a", "first run"));
    assertNull(told.poll(200, TimeUnit.MILLISECONDS));
    write(other, answer("a", "second run"));
    assertEquals("200 second run", told());
  }

  @Test
  void interimAnswersAreNoneAndAForeignOneEndsTheConnection() throws Exception {
    send("a", 10);
    Socket s = accept();
    readRequest(s);
    s.getInputStream().skipNBytes(10);
    write(
        s,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
            + ID
            + ": b\r\n\r\n"
            + answer("a", "one"));
    assertEquals("200 one", told());
    send("b", 10);
    readRequest(s);
    write(s, answer("a", "again"));
    assertEquals(SENT, told());
    assertTrue(ended(s));
  }
}
