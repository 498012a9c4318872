package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.otterpond.server.HoldingWorker.HeldRequest;

/**
 * Clients that leave before their responses are complete, through one node's real sockets: what is
 * cancelled, and what goes on. The operators allow half a second after the close.
 */
class ClientDepartureTest extends ClientDepartureFixture {
  /** How a client leaves. */
  private enum Departure {
    END {
      @Override
      void of(RawClient client) throws IOException {
        client.close();
      }
    },
    RESET {
      @Override
      void of(RawClient client) throws IOException {
        client.reset();
      }
    },
    HALF_CLOSE {
      @Override
      void of(RawClient client) throws IOException {
        client.endOutput();
        assertTrue(client.ended(), "the connection ends without a response");
      }
    },
    END_BEHIND_PIPELINED_INPUT {
      @Override
      void of(RawClient client) throws IOException {
        client.send("POST /behind HTTP/1.1\r\nHost: h.example\r\nContent-Length: 400000\r\n\r\n");
        client.send("x".repeat(300_000));
        client.close();
      }
    },
    END_BEHIND_MORE_INPUT_THAN_IS_KEPT {
      @Override
      void of(RawClient client) throws IOException {
        client.send("POST /behind HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9000000\r\n\r\n");
        client.send("x".repeat(9_000_000));
        client.close();
      }
    };

    abstract void of(RawClient client) throws IOException;
  }

  // ------------------------------------------------------------------- at a worker

  @ParameterizedTest
  @EnumSource(Departure.class)
  void idempotentRequestIsCancelledAtItsWorker(Departure departure) throws Exception {
    RawClient client = send("GET", "i/at-worker", "");
    HeldRequest held = arrival();

    departure.of(client);

    assertTrue(held.brokenOffWithin(ALLOWED_MILLIS), "the worker still runs it");
  }

  @Test
  void idempotentRequestIsCancelledWhileItsResponseComesIn() throws Exception {
    RawClient client = send("GET", "i/half-answered", "");
    HeldRequest held = arrival();
    held.answerPartly("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");

    client.close();

    assertTrue(held.brokenOffWithin(ALLOWED_MILLIS), "the worker still sends it");
  }

  /** The worker reads nothing, so that a large request is sent in part. */
  @Test
  void idempotentRequestIsCancelledWhilePartlySent() throws Exception {
    try (ServerSocket reader = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      service = "s" + ++lastService;
      node.beat(service + "-reader", service, reader.getLocalPort(), 1);
      reader.setSoTimeout((int) ARRIVAL_MILLIS);
      RawClient client =
          send("POST", "i/large", "Content-Length: 7000000\r\n").send("x".repeat(7_000_000));
      Socket accepted = reader.accept();

      client.close();
      TimeUnit.MILLISECONDS.sleep(ALLOWED_MILLIS);

      assertTrue(bytesUntilReset(accepted) < 7_000_000, "the rest was sent");
      accepted.close();
    }
  }

  private static long bytesUntilReset(Socket socket) throws IOException {
    socket.setSoTimeout(1_000);
    long bytes = 0;
    byte[] buffer = new byte[65_536];
    try {
      int count = socket.getInputStream().read(buffer);
      while (count >= 0) {
        bytes += count;
        count = socket.getInputStream().read(buffer);
      }
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      // Reset, as it should be.
    }
    return bytes;
  }

  @ParameterizedTest
  @EnumSource(
      value = Departure.class,
      names = {"END", "RESET"})
  void keyedRequestGoesOnAndItsRepeatGetsTheResponse(Departure departure) throws Exception {
    RawClient client = sendKeyed("once");
    HeldRequest held = arrival();

    departure.of(client);

    assertFalse(held.brokenOffWithin(ALLOWED_MILLIS));
    held.answer();
    try (RawClient repeat = sendKeyed("once")) {
      String response = repeat.answer();
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }
    assertEquals(1, worker.requests.size());
  }

  @ParameterizedTest
  @EnumSource(
      value = Departure.class,
      names = {"END", "RESET"})
  void nonIdempotentRequestAtItsWorkerGoesOn(Departure departure) throws Exception {
    RawClient client = send("POST", "n/at-worker", "");
    HeldRequest held = arrival();

    departure.of(client);

    assertFalse(held.brokenOffWithin(ALLOWED_MILLIS), "its effect would not be known");
    held.answer();
  }

  /** A worker that rejects a request has not executed it: it would be sent to another. */
  @ParameterizedTest
  @EnumSource(
      value = Departure.class,
      names = {"END", "RESET"})
  void rejectedRequestIsNotSentToAnotherWorkerAfterItsClientLeft(Departure departure)
      throws Exception {
    try (HoldingWorker second = startWorker("second", 1)) {
      RawClient client = send("POST", "n/rejected", "");
      HeldRequest held = next(second);

      departure.of(client);
      TimeUnit.MILLISECONDS.sleep(50);
      held.answer(ScriptedWorker.full(held.text));

      TimeUnit.MILLISECONDS.sleep(ALLOWED_MILLIS);
      assertEquals(1, worker.requests.size() + second.requests.size());
    }
  }

  // ---------------------------------------------------------------------- waiting

  /** One worker with one slot gets two requests of this node at once; further ones wait. */
  @ParameterizedTest
  @EnumSource(Departure.class)
  void queuedRequestReachesNoWorkerAfterItsClientLeft(Departure departure) throws Exception {
    List<HeldRequest> first = new ArrayList<>();
    List<RawClient> others = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      others.add(send("GET", "i/first", ""));
      first.add(arrival());
    }
    List<RawClient> leaving = List.of(send("GET", "i/queued", ""), send("POST", "n/queued", ""));
    assertNull(worker.next(200), "both wait for a free slot");

    for (RawClient client : leaving) {
      departure.of(client);
    }
    TimeUnit.MILLISECONDS.sleep(ALLOWED_MILLIS);
    for (HeldRequest request : first) {
      request.answer();
    }

    assertNull(worker.next(ALLOWED_MILLIS), "a request of a client that had left was sent");
    for (RawClient client : others) {
      assertTrue(client.answer().startsWith("HTTP/1.1 200"));
      client.close();
    }
  }

  @Test
  void pipelinedRequestBehindAnotherIsNotSentAfterItsClientLeft() throws Exception {
    RawClient client = send("GET", "i/first", "").send(request("GET", "i/second", ""));
    HeldRequest held = arrival();

    client.close();

    assertTrue(held.brokenOffWithin(ALLOWED_MILLIS));
    assertNull(worker.next(ALLOWED_MILLIS));
  }

  /** Who ends its output may still read: what was answered before is not cut off. */
  @Test
  void responseBeforeCancelledRequestStaysComplete() throws Exception {
    try (RawClient client = sendKeyed("large")) {
      client.send(request("GET", "i/behind", ""));
      HeldRequest keyed = arrival();
      String response = ScriptedWorker.ok(keyed.text, "x".repeat(20_000_000));
      keyed.answer(response);
      final HeldRequest behind = arrival();

      client.endOutput();
      assertTrue(behind.brokenOffWithin(ALLOWED_MILLIS));

      String received = client.answer();
      assertEquals(20_000_000, received.length() - received.indexOf("\r\n\r\n") - 4);
      assertTrue(client.ended());
    }
  }

  /** The operators' clients may leave before a node that has just started knows any route. */
  @Test
  void requestThatAwaitsTheConfigurationIsDropped(@TempDir Path folder) throws Exception {
    LoopbackNode starting = new LoopbackNode(folder, "\"retry_ratio\":0.9", () -> {});
    starting.beat(service + "-first", service, worker.port(), 1);
    RawClient client = null;
    for (int i = 0; i < 4; i++) {
      client = new RawClient(starting.front).send(request("GET", "i/early", ""));
      client.close();
    }
    assertNotNull(client);
    starting.configure(configuration(1));

    assertNull(worker.next(2 * ALLOWED_MILLIS));
  }

  // ------------------------------------------------------------------------- many

  /** What the cancelled requests held comes back, and once: the worker's slots bound the rest. */
  @Test
  void manyClientsThatLeaveAtOnceFreeTheirSlotsOnce() throws Exception {
    try (HoldingWorker second = startWorker("second", 100)) {
      List<RawClient> clients = new ArrayList<>();
      for (int i = 0; i < 150; i++) {
        clients.add(send("GET", "i/wave", ""));
      }
      List<HeldRequest> held = new ArrayList<>();
      for (int i = 0; i < 150; i++) {
        held.add(next(second));
      }

      for (RawClient client : clients) {
        client.close();
      }
      for (HeldRequest request : held) {
        assertTrue(request.brokenOffWithin(ALLOWED_MILLIS));
      }

      clients.clear();
      for (int i = 0; i < 202; i++) {
        clients.add(send("GET", "i/after", ""));
      }
      for (int i = 0; i < 202; i++) {
        next(second);
      }
      clients.add(send("GET", "i/one-too-many", ""));
      assertNull(second.next(ALLOWED_MILLIS), "twice as many requests as slots are the bound");
      assertNull(worker.next(1));
      for (RawClient client : clients) {
        client.close();
      }
    }
  }
}
