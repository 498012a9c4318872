package org.otterpond.simulation;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The calls of operators, as a node's control point carries them to the primary: an answer that
 * does not come in time, or is lost on its way, is none, and the order is sent again as it was, to
 * any node. All is written down in a history.
 */
final class OperatorClient {
  private static final long ASK = 850_000;
  private static final long RESEND = 250_000;
  private static final long BIG_ASK = 2_500_000;
  private static final long BIG_RESEND = 1_200_000;
  private static final int BIG = 64 * 1024;
  private static final long PATIENCE = 1_000_000;
  private static final int MOST_TRIES = 8;
  private static final long LATEST = 20_000_000;

  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  private final OperationHistory history;
  private final Random random;

  /** An order is not sent again once more changes than that lie between. */
  private final int mostBetween;

  private final List<Sending> open = new ArrayList<>();
  private double lost;

  /** The newest revision that any operator has seen. */
  private long seen;

  private long connections;

  /** Told when an order is confirmed. */
  Runnable onConfirmed = () -> {};

  int confirmed;
  int refused;

  /**
   * An order with as many changes as were confirmed before it was sent first, and the tries that
   * are left.
   */
  private record Sending(ConfigurationWrite order, int before, int tries) {
    Sending next() {
      return new Sending(order, before, tries - 1);
    }
  }

  OperatorClient(
      SimulatedCluster fleet,
      OperationHistory history,
      Random random,
      double lost,
      int mostBetween) {
    this.mostBetween = mostBetween;
    this.fleet = fleet;
    this.world = fleet.world;
    this.history = history;
    this.random = random;
    this.lost = lost;
  }

  long seen() {
    return seen;
  }

  /** From now on all answers arrive; what has had none yet is asked for again. */
  void settle() {
    lost = 0;
    List<Sending> left = new ArrayList<>(open);
    open.clear();
    left.forEach(
        s ->
            world.at(
                random.nextInt(500_000),
                () -> send(new Sending(s.order(), s.before(), MOST_TRIES))));
  }

  SimulatedNode anyNode() {
    List<SimulatedNode> up = fleet.all.stream().filter(n -> n.up() && n.storeDisk == null).toList();
    return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
  }

  /** Sends an order until it has a clear answer or so many tries have had none. */
  void send(ConfigurationWrite order, int tries) {
    send(new Sending(order, confirmed, tries));
  }

  private void send(Sending s) {
    if (confirmed - s.before() > mostBetween) {
      return;
    }
    if (s.tries() == 0) {
      open.add(s);
      return;
    }
    SimulatedNode n = anyNode();
    if (n == null) {
      world.at(200_000, () -> send(s));
      return;
    }
    ConfigurationWrite order = s.order();
    Operation o = history.write(n.address, order);
    boolean big = order.text().length() > BIG;
    boolean[] over = {false};
    long patience = big ? 3 * PATIENCE : PATIENCE;
    world.at(patience, () -> unclear(over, s));
    WireRecord ask =
        new WireRecord("ask")
            .with("op", "write")
            .with("kind", order.kind())
            .with("base", order.base())
            .with("text", CompressedPayload.pack(order.text()));
    n.call(
        connection(),
        () ->
            n.node.ask(
                ask,
                big ? BIG_ASK : ASK,
                big ? BIG_RESEND : RESEND,
                r ->
                    back(
                        () -> {
                          if (over[0]) {
                            return;
                          }
                          if (r == null) {
                            unclear(over, s);
                            return;
                          }
                          over[0] = true;
                          answered(o, (int) r.number("status"));
                        })));
  }

  /** A new one for each call. */
  String connection() {
    return "call" + ++connections;
  }

  private void answered(Operation o, int status) {
    history.answered(o, status);
    if (status == 200) {
      confirmed++;
      seen = Math.max(seen, o.order.revision());
      fleet.checker.acknowledged(o.order.base(), o.order.revision());
      onConfirmed.run();
    } else {
      refused++;
    }
  }

  /** An answer on its way to the operator; some never arrive. */
  private void back(Runnable arrived) {
    if (random.nextDouble() >= lost) {
      world.at(200 + random.nextInt(500), arrived);
    }
  }

  private void unclear(boolean[] over, Sending s) {
    if (over[0]) {
      return;
    }
    over[0] = true;
    long pause = random.nextInt(3) == 0 ? random.nextInt((int) LATEST) : random.nextInt(600_000);
    world.at(lost == 0 ? 50_000 : pause, () -> send(s.next()));
  }

  void read() {
    SimulatedNode n = anyNode();
    if (n == null) {
      return;
    }
    Operation o = history.read(n.address);
    n.call(
        connection(),
        () ->
            n.node.ask(
                new WireRecord("ask").with("op", "read"),
                ASK,
                RESEND,
                r ->
                    back(
                        () -> {
                          if (r != null && world.now() - o.invoked <= PATIENCE) {
                            history.returned(
                                o,
                                r.number("rev"),
                                r.has("text") ? markers(r.bytes("text")) : List.of());
                            seen = Math.max(seen, o.revision);
                          }
                        })));
  }

  private static List<String> markers(byte[] text) {
    List<String> out = new ArrayList<>();
    try {
      for (JsonElement e :
          JsonParser.parseString(CompressedPayload.unpackText(text))
              .getAsJsonObject()
              .getAsJsonArray("subscribers")) {
        out.add(e.getAsJsonObject().get("name").getAsString());
      }
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
    return out;
  }
}
