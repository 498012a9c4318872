package org.otterpond.control.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.PrimaryRequest;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * Requests that this node has sent to the primary or to one other node and that wait for a reply.
 *
 * <p>A request to the primary follows the role: it is sent again when another node becomes primary.
 * Every request ends with exactly one answer: the reply, or null when nothing is known of its
 * outcome. Used by the owner thread only.
 */
final class ForwardedRequests {
  /** The resend interval of a request that must not be executed by a late duplicate. */
  private static final long NEVER_RESEND = Long.MAX_VALUE / 2;

  /** The field by which a node, or this type in its place, refuses a request. */
  private static final String REFUSED = "no";

  private static final String UNSENT = "unsent";

  private final NodeRuntime runtime;
  private final Supplier<String> primaryAddress;
  private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
  private long lastRequestId;

  /** One request that has not been answered. */
  private static final class PendingRequest {
    final WireRecord message;

    /** The address of the one node that can answer, or null for the primary, whichever it is. */
    final String node;

    final long resendMicros;
    final Consumer<WireRecord> answer;
    long sentAt;

    /** The connection on which the request was sent last. */
    long connection;

    PendingRequest(Encodable message, String node, long resendMicros, Consumer<WireRecord> answer) {
      this.message = message.toWireRecord();
      this.node = node;
      this.resendMicros = resendMicros;
      this.answer = answer;
    }

    boolean sentOnceTo(String address) {
      return resendMicros >= NEVER_RESEND && address.equals(node);
    }
  }

  /**
   * Creates the table of pending requests.
   *
   * @param primaryAddress the address of the primary, null while it is unknown
   * @param lastRequestId request identifiers are counted up from here; it must differ between
   *     incarnations of a process, so that a late reply is not taken for another request's
   */
  ForwardedRequests(NodeRuntime runtime, Supplier<String> primaryAddress, long lastRequestId) {
    this.runtime = runtime;
    this.primaryAddress = primaryAddress;
    this.lastRequestId = lastRequestId;
  }

  /** Sends to the primary, again after each resend interval, until the time-out. */
  void toPrimary(
      Encodable message, long timeoutMicros, long resendMicros, Consumer<WireRecord> answer) {
    start(new PendingRequest(message, null, resendMicros, answer), timeoutMicros);
  }

  /** Sends to one node, again after each resend interval, until the time-out. */
  void toNode(
      String node,
      Encodable message,
      long timeoutMicros,
      long resendMicros,
      Consumer<WireRecord> answer) {
    start(new PendingRequest(message, node, resendMicros, answer), timeoutMicros);
  }

  /**
   * Sends to one node a single time. The answer is a reply with the field {@code no} = {@code
   * unsent} if the connection to the node never opened, and null if it was closed later.
   */
  void toNodeOnce(String node, Encodable message, long timeoutMicros, Consumer<WireRecord> answer) {
    start(new PendingRequest(message, node, NEVER_RESEND, answer), timeoutMicros);
  }

  private void start(PendingRequest request, long timeoutMicros) {
    long requestId = ++lastRequestId;
    request.message.with(PrimaryRequest.REQUEST_ID, requestId);
    pending.put(requestId, request);
    send(request);
    runtime.after(timeoutMicros, () -> complete(requestId, null));
  }

  private void send(PendingRequest request) {
    request.sentAt = runtime.now();
    if (request.node != null) {
      runtime.send(request.node, request.message);
      request.connection = runtime.connection(request.node);
      return;
    }
    String primary = primaryAddress.get();
    if (primary != null) {
      runtime.send(primary, request.message);
    }
  }

  private void complete(long requestId, WireRecord reply) {
    PendingRequest request = pending.remove(requestId);
    if (request != null) {
      request.answer.accept(reply);
    }
  }

  /** Completes the request that the reply names; a reply to a completed request is ignored. */
  void onReply(WireRecord reply) {
    complete(reply.number(PrimaryRequest.REQUEST_ID), reply);
  }

  /** Sends the pending requests to the primary again, as another node has become primary. */
  void resendToPrimary() {
    pending.values().stream().filter(request -> request.node == null).forEach(this::send);
  }

  /** Sends again each request whose resend interval has passed. */
  void resendOverdue(long now) {
    for (PendingRequest request : pending.values()) {
      if (now - request.sentAt >= request.resendMicros) {
        send(request);
      }
    }
  }

  /**
   * Fails the requests that were sent once, on this connection: as it never opened, none of them
   * has reached the node.
   */
  void connectionNeverOpened(String address, long connection) {
    failAll(
        request -> request.sentOnceTo(address) && request.connection == connection,
        () -> new WireRecord(PrimaryReply.KIND).with(REFUSED, UNSENT));
  }

  /** Fails the requests that were sent once to this node: whether they arrived is unknown. */
  void connectionClosed(String address) {
    failAll(request -> request.sentOnceTo(address), () -> null);
  }

  private void failAll(Predicate<PendingRequest> failed, Supplier<WireRecord> reply) {
    List<Long> requestIds =
        pending.entrySet().stream()
            .filter(entry -> failed.test(entry.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    requestIds.forEach(requestId -> complete(requestId, reply.get()));
  }
}
