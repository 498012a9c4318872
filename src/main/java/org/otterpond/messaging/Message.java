package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/** One message as the index in memory has it; method, headers and bytes stand on the disk. */
public final class Message {
  public enum State {
    QUEUED,
    COMPLETED,
    DEAD_LETTER
  }

  final String id;
  final String tenant;
  final String orderKey;
  final String operation;
  final String host;
  final String target;

  /** The configuration under which it was accepted; an older one says nothing of its route. */
  final long revision;

  /** Its place among all that the partition has accepted. */
  long turn;

  long dueAt;
  long keepUntil;
  State state = State.QUEUED;
  int attempts;
  String seal;
  long endedAt;
  long place;

  /** The whole of it, while there is room in memory. */
  WireRecord whole;

  /** The courier has it; so it is offered once at a time. */
  boolean offered;

  /** Its end is on its way to the replicas. */
  boolean ending;

  Message(WireRecord f, long now) {
    id = f.text("id");
    tenant = f.text("tenant");
    orderKey = f.text("order");
    operation = f.text("op");
    host = f.text("host");
    target = f.text("target");
    revision = f.number("cfg");
    dueAt = now + f.number("delay");
    keepUntil = now + f.number("keep");
    attempts = (int) f.number("attempts");
  }

  public String id() {
    return id;
  }

  public String tenant() {
    return tenant;
  }

  public String host() {
    return host;
  }

  public String path() {
    int q = target.indexOf('?');
    return q < 0 ? target : target.substring(0, q);
  }

  public String target() {
    return target;
  }

  public long revision() {
    return revision;
  }

  public int attempts() {
    return attempts;
  }

  public State state() {
    return state;
  }

  public String seal() {
    return seal;
  }

  public boolean ordered() {
    return orderKey != null;
  }

  String operationName() {
    return operation == null ? null : operationName(tenant, operation);
  }

  static String operationName(String tenant, String operation) {
    return (tenant == null ? "" : tenant) + "\n" + operation;
  }

  String line() {
    return orderKey == null ? null : (tenant == null ? "" : tenant) + "\n" + orderKey;
  }

  /** As it goes to another replica, with times as what is left of them. */
  WireRecord piece(WireRecord stored, long now) {
    WireRecord f =
        new WireRecord("message")
            .with("id", id)
            .with("tenant", tenant)
            .with("order", orderKey)
            .with("op", operation)
            .with("host", host)
            .with("target", target)
            .with("cfg", revision)
            .with("turn", turn)
            .with("delay", Math.max(0, dueAt - now))
            .with("keep", Math.max(0, keepUntil - now))
            .with("state", state.name())
            .with("attempts", attempts)
            .with("seal", seal)
            .with("ended", state == State.QUEUED ? null : (Object) (now - endedAt));
    if (stored != null) {
      f.with("method", stored.text("method"))
          .with("headers", stored.list("headers"))
          .with("body", stored.bytes("body"));
    }
    return f;
  }

  /** The headers as stored: name, value, name, value. */
  public static List<String> headers(WireRecord whole) {
    List<String> out = new ArrayList<>();
    whole.list("headers").forEach(o -> out.add((String) o));
    return out;
  }
}
