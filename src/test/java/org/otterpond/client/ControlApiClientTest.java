package org.otterpond.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlApiClientTest {
  private final List<HttpServer> servers = new ArrayList<>();

  /** Starts a node that gives the same answer to every request, and returns its address. */
  private String node(int status, String body, String location) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", exchange -> answer(exchange, status, body, location));
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void answer(HttpExchange exchange, int status, String body, String location)
      throws IOException {
    try (exchange) {
      if (location != null) {
        exchange.getResponseHeaders().set("Location", location);
      }
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  private static ControlApiException failure(String... nodes) {
    ControlApiClient client = new ControlApiClient(List.of(nodes));
    return assertThrows(ControlApiException.class, () -> client.post("/-/x", "{}", 7));
  }

  @AfterEach
  void stopServers() {
    servers.forEach(server -> server.stop(0));
  }

  @Test
  void nextNodeIsTriedAfterNodeWithoutDefiniteAnswer() throws Exception {
    String unavailable = node(503, "busy", null);
    String working = node(200, "done", null);

    assertEquals("done", new ControlApiClient(List.of(unavailable, working)).get("/-/x"));
  }

  @Test
  void rejectionIsFinalAndNamesItsCause() throws IOException {
    ControlApiException e = failure(node(412, "{\"cause\":\"stale\"}", null), node(200, "", null));

    assertEquals(ControlApiException.REJECTED, e.exitCode());
    assertEquals("412: stale", e.getMessage());
  }

  @Test
  void redirectIsFollowed() throws Exception {
    String target = node(200, "there", null);
    String redirecting = node(307, "", "http://" + target + "/-/x");

    assertEquals("there", new ControlApiClient(List.of(redirecting)).get("/-/x"));
  }

  @Test
  void noDefiniteAnswerNamesTheLastFailure() throws IOException {
    ControlApiException e = failure(node(429, "slow down", null), "127.0.0.1:1");

    assertEquals(ControlApiException.NO_ANSWER, e.exitCode());
    assertTrue(e.getMessage().contains("127.0.0.1:1: "), e.getMessage());
  }

  @Test
  void malformedAddressIsUsageError() {
    assertEquals(ControlApiException.USAGE, failure("no port:x").exitCode());
  }
}
