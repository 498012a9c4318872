package org.otterpond.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/**
 * Clients that hand messages in at any edge node, and ask for them at the end; as the intake does
 * it.
 */
final class SimulatedProducers {
  private static final int LINES = 6;
  private static final long PATIENCE = 1_500_000;

  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  private final MessageInvariantChecker checker;
  private boolean sending = true;
  private int number;
  private final List<String> operations = new ArrayList<>();
  int refused;

  SimulatedProducers(SimulatedCluster fleet, MessageInvariantChecker checker) {
    this.fleet = fleet;
    this.world = fleet.world;
    this.checker = checker;
  }

  void start() {
    world.at(0, this::next);
  }

  void stop() {
    sending = false;
  }

  private void next() {
    if (!sending) {
      return;
    }
    world.at(4_000 + world.random.nextInt(12_000), this::next);
    SimulatedNode edge = fleet.anyUp();
    if (edge == null || edge.frozen()) {
      return;
    }
    boolean ordered = world.random.nextInt(3) == 0;
    String line = ordered ? "line" + world.random.nextInt(LINES) : null;
    boolean repeat = !ordered && !operations.isEmpty() && world.random.nextInt(6) == 0;
    String operation =
        ordered
            ? null
            : repeat ? operations.get(world.random.nextInt(operations.size())) : "op" + ++number;
    long delay = !ordered && world.random.nextInt(4) == 0 ? world.random.nextInt(2_000_000) : 0;
    if (operation != null && !repeat) {
      operations.add(operation);
    }
    edge.perform(() -> hand(edge, line, operation, delay));
  }

  private void hand(SimulatedNode edge, String line, String operation, long delay) {
    Map<Integer, GroupConfiguration> partitions = edge.partitions;
    if (partitions.isEmpty()) {
      return;
    }
    int group = Math.floorMod((line != null ? line : operation).hashCode(), partitions.size());
    String id = group + ".m" + ++number;
    String body = "body of " + id + " " + "x".repeat(world.random.nextInt(400));
    MessageInvariantChecker.Sent s = checker.sent(id, line, delay, body);
    WireRecord message =
        new WireRecord("put")
            .with("id", id)
            .with("order", line)
            .with("op", operation)
            .with("host", "h")
            .with("target", "/m")
            .with("method", "POST")
            .with("headers", List.of())
            .with("body", body.getBytes(StandardCharsets.UTF_8))
            .with("delay", delay)
            .with("keep", 600_000_000L)
            .with("cfg", 1);
    put(edge, group, message, s, operation, world.now() + PATIENCE, false);
  }

  private void put(
      SimulatedNode edge,
      int group,
      WireRecord message,
      MessageInvariantChecker.Sent s,
      String operation,
      long until,
      boolean doubtful) {
    GroupConfiguration v = edge.partitions.get(group);
    if (world.now() > until) {
      if (!doubtful) {
        refused++;
        checker.refused(s);
      }
      return;
    }
    edge.node.askNode(
        GroupConfiguration.addressOf(v.primary()),
        new WireRecord("m.put").with("group", group).with("message", message),
        600_000,
        r -> {
          if (r != null && r.has("taken")) {
            checker.accepted(s, operation, r.text("taken"));
          } else {
            SimulatedNode n = edge;
            world.at(
                40_000,
                () ->
                    n.perform(
                        () -> put(n, group, message, s, operation, until, doubtful || r == null)));
          }
        });
  }

  /** Asks for the state, and for the bytes where there are any, of all that was accepted. */
  void askForAll() {
    checker.accepted.values().forEach(s -> ask(s, 30));
  }

  private void ask(MessageInvariantChecker.Sent s, int tries) {
    SimulatedNode edge = fleet.anyUp();
    int group = Integer.parseInt(s.id.substring(0, s.id.indexOf('.')));
    String primary = GroupConfiguration.addressOf(edge.partitions.get(group).primary());
    edge.node.askNode(
        primary,
        new WireRecord("m.state").with("group", group).with("id", s.id),
        500_000,
        r -> {
          if (r == null || r.has("no")) {
            if (tries > 0) {
              world.at(100_000, () -> ask(s, tries - 1));
            } else {
              checker.breach("LOST " + s.id + ": nobody answers for it");
            }
            return;
          }
          checker.state(s, r.text("state"), r.text("seal"));
          if ("QUEUED".equals(r.text("state"))) {
            edge.node.askNode(
                primary,
                new WireRecord("m.body").with("group", group).with("id", s.id),
                500_000,
                b -> {
                  if (b != null && b.has("body")) {
                    checker.body(s, new String(b.bytes("body"), StandardCharsets.UTF_8));
                  }
                });
          }
        });
  }
}
