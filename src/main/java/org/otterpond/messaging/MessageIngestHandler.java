package org.otterpond.messaging;

import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Route;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.messaging.message.PutMessageRequest;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.WireRecord;
import org.otterpond.proxy.InvalidRequestException;
import org.otterpond.proxy.MessageRequestHandler;
import org.otterpond.proxy.ProxyMetrics;

/**
 * The edge of the message store: finds the partition of a submitted message, hands the message to
 * the partition's primary and answers 202 once all replicas have it.
 */
public final class MessageIngestHandler implements MessageRequestHandler {
  private static final double NO_PARTITIONS_RETRY_AFTER_SECONDS = 0.3;

  private final ProxyMetrics metrics;
  private final String incarnation;
  private final PartitionDirectory partitions = new PartitionDirectory();
  private final MessageSubmitter submitter;
  private final MessageQueryHandler queries;
  private long lastNumber;

  /**
   * Creates the handler of one node.
   *
   * @param incarnation names this process; ids of messages are unique by it
   */
  public MessageIngestHandler(
      EventLoop eventLoop, ControlPlaneAgent agent, long incarnation, ProxyMetrics metrics) {
    this.metrics = metrics;
    this.incarnation = Long.toHexString(incarnation);
    Random random = new Random(ThreadLocalRandom.current().nextLong());
    this.submitter = new MessageSubmitter(eventLoop, agent, random, metrics, partitions);
    this.queries = new MessageQueryHandler(eventLoop, agent, partitions);
  }

  @Override
  public boolean isMessageQuery(String path) {
    return MessageQueryHandler.isMessageQuery(path);
  }

  @Override
  public void query(ServerExchange exchange, Tenant tenant) {
    queries.query(exchange, tenant);
  }

  @Override
  public void assigned(WireRecord entry) {
    partitions.assigned(entry);
  }

  @Override
  public int inFlight() {
    return submitter.inFlight() + queries.inFlight();
  }

  @Override
  public void endAll() {
    submitter.endAll();
    queries.endAll();
  }

  @Override
  public void submit(
      ServerExchange exchange, Route route, Tenant tenant, GatewayConfiguration configuration) {
    SubmittedRequest request;
    try {
      request = new SubmittedRequest(exchange.request(), route, tenant);
    } catch (InvalidRequestException e) {
      exchange.answer(GatewayResponses.problem(400, e.getMessage()));
      return;
    }
    if (partitions.isEmpty()) {
      metrics.rejected.increment();
      exchange.answer(
          GatewayResponses.unavailable("no partitions yet", NO_PARTITIONS_RETRY_AFTER_SECONDS));
      return;
    }
    String uniqueId = incarnation + "." + Long.toHexString(++lastNumber);
    int group = partitions.partitionOf(request.tenant(), request.placementKey(uniqueId));
    PutMessageRequest put =
        PutMessageRequest.of(group, request.message(group + "." + uniqueId, configuration));
    submitter.submit(
        new MessageSubmission(exchange, put, request.tenant(), request.timeLeftMicros()),
        tenant != null && tenant.hasRateLimit());
  }
}
