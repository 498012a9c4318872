package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.cli.OtterpondCommand;

/** The control API and the command-line client, through the real sockets of one node. */
class ControlApiLoopbackTest extends GatewayFixture {
  @Test
  void invalidConfigurationsNameTheirField() throws IOException {
    assertProblem(400, "body", "{\"revision\":");
    assertProblem(400, "revision", "{\"revision\":1,\"route_table\":[],\"service_table\":[]}");
    assertProblem(
        400,
        "route_table[0].guard_timer_ms",
        "{\"revision\":9,\"service_table\":[{\"name\":\"s\"}],"
            + "\"route_table\":["
            + route("r", "/a/", "keyed", 1).replace("3000", "0")
            + "]}");
    assertProblem(
        400,
        "route_table[0].target_service",
        "{\"revision\":9,\"service_table\":[],\"route_table\":["
            + route("r", "/a/", "keyed", 1)
            + "]}");
  }

  private static void assertProblem(int status, String names, String config) throws IOException {
    try (RawClient c = new RawClient(control)) {
      String a =
          c.send(
                  "POST /-/Configuration.Replace HTTP/1.1\r\nHost: c\r\n"
                      + "X-Otterpond-Base-Revision: 1\r\n"
                      + "Content-Length: "
                      + config.length()
                      + "\r\n\r\n"
                      + config)
              .answer();
      assertEquals(status, status(a), a);
      assertTrue(body(a).contains("\"cause\":\"" + names), a);
    }
  }

  @Test
  void clientReadsChecksAndReportsByExitCode(@TempDir Path folder) throws IOException {
    String node = "127.0.0.1:" + control;
    assertEquals(0, OtterpondCommand.execute("status", "--node", node));
    assertEquals(0, OtterpondCommand.execute("config", "get", "-n", node));
    Path file = folder.resolve("c.json");
    Files.writeString(file, "{\"revision\":8,\"route_table\":[],\"service_table\":[]}");
    assertEquals(0, OtterpondCommand.execute("config", "validate", file.toString()));
    assertEquals(
        1,
        OtterpondCommand.execute("config", "replace", "-n", node, "--base", "77", file.toString()),
        "lost race");
    Files.writeString(file, "{\"revision\":8}");
    assertEquals(1, OtterpondCommand.execute("config", "validate", file.toString()));
    assertEquals(2, OtterpondCommand.execute("config", "replace"));
    assertEquals(2, OtterpondCommand.execute());
    assertEquals(3, OtterpondCommand.execute("status", "-n", "127.0.0.1:1"));
  }

  @Test
  void metricsAndStatusAreServed() throws IOException {
    try (RawClient c = new RawClient(control)) {
      String a = c.send("GET /-/metrics HTTP/1.1\r\nHost: c\r\n\r\n").answer();
      assertTrue(body(a).contains("otterpond_requests_total"), a);
      String s = c.send("GET /-/status HTTP/1.1\r\nHost: c\r\n\r\n").answer();
      assertTrue(body(s).contains("\"primary\":\"n\""), s);
      assertFalse(body(s).contains("\"epoch\":0"), s);
    }
  }
}
