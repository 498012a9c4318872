package org.otterpond.messaging;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.messaging.message.MessageBodyRequest;
import org.otterpond.messaging.message.MessageStateRequest;
import org.otterpond.messaging.message.MessageStoreReply;
import org.otterpond.messaging.message.MessageStoreRequest;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers clients that ask for the state or the body of a stored message. */
final class MessageQueryHandler {
  private static final Logger LOG = LoggerFactory.getLogger(MessageQueryHandler.class);
  private static final String STATE_PATH = "/-/message/";
  private static final String BODY_PATH = "/-/message-body/";
  private static final int MAX_ID_LENGTH = 64;
  private static final int NO_PARTITION = -1;
  private static final long QUERY_MICROS = 1_800_000;
  private static final long REPLY_TIMEOUT_MICROS = 500_000;
  private static final long RETRY_MICROS = 40_000;

  private final EventLoop eventLoop;
  private final ControlPlaneAgent agent;
  private final PartitionDirectory partitions;

  /** The queries that wait for a store. */
  private final Set<ServerExchange> open = new LinkedHashSet<>();

  MessageQueryHandler(EventLoop eventLoop, ControlPlaneAgent agent, PartitionDirectory partitions) {
    this.eventLoop = eventLoop;
    this.agent = agent;
    this.partitions = partitions;
  }

  static boolean isMessageQuery(String path) {
    return path.startsWith(STATE_PATH) || path.startsWith(BODY_PATH);
  }

  void query(ServerExchange exchange, Tenant tenant) {
    HttpMessage request = exchange.request();
    if (!request.method().equals("GET")) {
      exchange.answer(
          GatewayResponses.problem(405, "the method must be GET").header("Allow", "GET"));
      return;
    }
    boolean bodyWanted = request.path().startsWith(BODY_PATH);
    String id = request.path().substring((bodyWanted ? BODY_PATH : STATE_PATH).length());
    int group = partitionOf(id);
    if (id.length() > MAX_ID_LENGTH || !partitions.contains(group)) {
      exchange.answer(GatewayResponses.problem(404, "no such message"));
      return;
    }
    open.add(exchange);
    exchange.onClientGone(() -> clientGone(exchange));
    String tenantName = tenant == null ? null : tenant.name();
    MessageStoreRequest query =
        bodyWanted
            ? new MessageBodyRequest(group, id, tenantName)
            : new MessageStateRequest(group, id, tenantName);
    send(exchange, query, exchange.receivedAtMicros() + QUERY_MICROS);
  }

  private void clientGone(ServerExchange exchange) {
    open.remove(exchange);
    exchange.abandon();
  }

  private void answer(ServerExchange exchange, HttpMessage response) {
    open.remove(exchange);
    exchange.answer(response);
  }

  /** Answers all queries that still wait for a store, as the node ends. */
  void endAll() {
    for (ServerExchange exchange : new ArrayList<>(open)) {
      answer(exchange, GatewayResponses.unavailable("the node is shutting down", 0.2));
    }
  }

  /** Returns the number of queries that wait for a store. */
  int inFlight() {
    return open.size();
  }

  /** The id of a message begins with the number of its partition and a dot. */
  private static int partitionOf(String id) {
    try {
      return Integer.parseInt(id.substring(0, Math.max(0, id.indexOf('.'))));
    } catch (NumberFormatException e) {
      return NO_PARTITION;
    }
  }

  private void send(ServerExchange exchange, MessageStoreRequest query, long deadlineMicros) {
    if (exchange.answered()) {
      return;
    }
    long now = EventLoop.now();
    if (now > deadlineMicros - RETRY_MICROS) {
      answer(exchange, GatewayResponses.unavailable("the partition has no primary now", 0.2));
      return;
    }
    String primary = partitions.primaryAddress(query.group());
    agent.requestNodeOnce(
        primary,
        query.toWireRecord(),
        Math.min(REPLY_TIMEOUT_MICROS, deadlineMicros - now),
        reply -> {
          HttpMessage response = response(reply, primary);
          if (response == null) {
            eventLoop.after(RETRY_MICROS, () -> send(exchange, query, deadlineMicros));
          } else {
            answer(exchange, response);
          }
        });
  }

  /** Returns the response to the client, or null if the query is to be sent again. */
  private static HttpMessage response(WireRecord encoded, String from) {
    MessageStoreReply reply;
    try {
      reply = encoded == null ? null : MessageStoreReply.of(encoded);
    } catch (ProtocolException e) {
      LOG.warn("event=malformed_message from={} cause=\"{}\"", from, e.getMessage());
      return null;
    }
    if (reply instanceof MessageStoreReply.NoSuchMessage) {
      return GatewayResponses.problem(404, "no such message");
    }
    if (reply instanceof MessageStoreReply.Body body) {
      return HttpMessage.response(200)
          .header("Content-Type", "application/octet-stream")
          .body(body.body());
    }
    return reply instanceof MessageStoreReply.State state ? stateResponse(state) : null;
  }

  private static HttpMessage stateResponse(MessageStoreReply.State state) {
    JsonObject json = new JsonObject();
    json.addProperty("state", state.state().name().toLowerCase(Locale.ROOT));
    if (state.serverSeal() != null) {
      json.addProperty("timestamp", state.serverSeal());
    }
    return GatewayResponses.json(200, json.toString());
  }
}
