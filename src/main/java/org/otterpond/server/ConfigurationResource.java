package org.otterpond.server;

import org.otterpond.config.ConfigException;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.ReadConfigurationReply;
import org.otterpond.control.message.ReadConfigurationRequest;
import org.otterpond.control.message.WriteConfigurationReply;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Reads and changes the gateway configuration. */
final class ConfigurationResource {
  private static final String BASE_REVISION_HEADER = "X-Otterpond-Base-Revision";
  private static final String READ_PATH = "/-/Configuration.Read";

  /** A longer configuration (in characters) counts as large. */
  private static final int LARGE_LENGTH = 64 * 1024;

  private final ControlPlaneAgent agent;
  private final PrimaryCaller primary;
  private final ControlPoints controlPoints;

  ConfigurationResource(
      ControlPlaneAgent agent, PrimaryCaller primary, ControlPoints controlPoints) {
    this.agent = agent;
    this.primary = primary;
    this.controlPoints = controlPoints;
  }

  /** Replaces the whole configuration. */
  void replace(ServerExchange exchange, String name) throws ConfigException {
    write(exchange, WriteConfigurationRequest.REPLACE);
  }

  /** Modifies the configuration. */
  void modify(ServerExchange exchange, String name) throws ConfigException {
    write(exchange, WriteConfigurationRequest.MODIFY);
  }

  private void write(ServerExchange exchange, String kind) throws ConfigException {
    String text = RequestBodies.text(exchange);
    WriteConfigurationRequest request =
        new WriteConfigurationRequest(kind, baseRevision(exchange), CompressedBytes.ofText(text));
    primary.call(
        exchange,
        request,
        text.length() > LARGE_LENGTH
            ? PrimaryCaller.Timing.LARGE_REQUEST
            : PrimaryCaller.Timing.STANDARD,
        WriteConfigurationReply::of,
        reply ->
            exchange.answer(
                reply.status() == WriteConfigurationReply.COMMITTED
                    ? GatewayResponses.json(200, "{}")
                    : GatewayResponses.problem(reply.status(), reply.cause())));
  }

  private static long baseRevision(ServerExchange exchange) throws ConfigException {
    String header = exchange.request().firstHeader(BASE_REVISION_HEADER);
    if (header == null) {
      return 0;
    }
    try {
      return Long.parseLong(header.trim());
    } catch (NumberFormatException e) {
      throw new ConfigException(BASE_REVISION_HEADER + ": a whole number is wanted");
    }
  }

  /**
   * Returns the configuration. A large one is redirected to a core node, which has the wider link.
   */
  void read(ServerExchange exchange, String name) {
    String coreNode = agent.configurationSize() > LARGE_LENGTH ? agent.beacon("", "") : null;
    if (coreNode != null) {
      exchange.answer(
          GatewayResponses.problem(307, "a large configuration is had from a core node")
              .header("Location", "http://" + controlPoints.of(coreNode) + READ_PATH));
      return;
    }
    primary.call(
        exchange,
        new ReadConfigurationRequest(),
        PrimaryCaller.Timing.STANDARD,
        CommittedText::of,
        committed ->
            exchange.answer(
                committed.text() == null
                    ? GatewayResponses.problem(404, "no configuration yet")
                    : GatewayResponses.json(200, committed.text())));
  }

  /**
   * The committed configuration.
   *
   * @param text its uncompressed text, or null if there is none
   */
  private record CommittedText(String text) {
    static CommittedText of(WireRecord encoded) throws ProtocolException {
      CompressedBytes compressed = ReadConfigurationReply.of(encoded).text();
      return new CommittedText(compressed == null ? null : compressed.text());
    }
  }
}
