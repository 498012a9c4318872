package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * A whole system with its callers: an operator who changes the configuration, clients with
 * operation keys.
 */
final class SimulatedCluster {
  static final QuotaSettings QUOTA =
      new QuotaSettings(5_000_000, 0.1, 20, EpochTimeouts.standard().lent());

  static final long REVOKE = 5_000_000;
  static final String TENANT = "acme";
  static final int RATE = 40;
  static final int BURST = 200;

  final SimulatedWorld world;
  final InvariantChecker checker;
  final List<SimulatedNode> disks = new ArrayList<>();
  final List<SimulatedNode> all = new ArrayList<>();
  final List<SimulatedNode> stores = new ArrayList<>();

  /** The services of every configuration that the operator sends. */
  String services = "[]";

  private final List<String> seeds;
  private boolean calling = true;
  private long nextRevision = 1;
  private int tokenNumber;
  private final int faults;
  private int keyNumber;

  SimulatedCluster(long seed, int withDisk, int without, int faults) {
    this.faults = faults;
    world = new SimulatedWorld(seed);
    checker = new InvariantChecker(world);
    // The seeds are one machine with a disk and two without, as a deployment may have it.
    seeds = List.of("d1:1", without > 0 ? "n1:1" : "d2:1", without > 1 ? "n2:1" : "d3:1");
    for (int i = 1; i <= withDisk; i++) {
      disks.add(add("d" + i + ":1", true));
    }
    for (int i = 1; i <= without; i++) {
      add("n" + i + ":1", false);
    }
    for (SimulatedNode n : all) {
      world.at(world.random.nextInt(1_500_000), n::start);
    }
  }

  SimulatedNode add(String address, boolean disk) {
    SimulatedNode n = new SimulatedNode(world, checker, address, disk, seeds, faults);
    world.nodes.put(address, n);
    all.add(n);
    return n;
  }

  /** A machine that stores messages. */
  SimulatedNode addStore(String address, MessageInvariantChecker messages) {
    SimulatedNode n = add(address, false);
    n.storeDisk = new SimulatedSegmentStore(world);
    n.messages = messages;
    stores.add(n);
    return n;
  }

  SimulatedNode leader() {
    return all.stream()
        .filter(SimulatedNode::leading)
        .reduce((a, b) -> a.node.known().epoch() > b.node.known().epoch() ? a : b)
        .orElse(null);
  }

  SimulatedNode anyUp() {
    List<SimulatedNode> up = all.stream().filter(n -> n.up() && n.storeDisk == null).toList();
    return up.isEmpty() ? null : up.get(world.random.nextInt(up.size()));
  }

  void callers() {
    world.at(0, this::operator);
    world.at(0, this::client);
  }

  void quietCallers() {
    calling = false;
  }

  // -------------------------------------------------------------- operator

  private void operator() {
    if (!calling) {
      return;
    }
    change(() -> world.at(300_000 + world.random.nextInt(400_000), this::operator));
  }

  /** One change on top of the newest version that a read gives. */
  void change(Runnable then) {
    read(
        rev -> {
          if (rev < 0) {
            then.run();
            return;
          }
          long revision = Math.max(nextRevision, rev + 1);
          nextRevision = revision + 1 + world.random.nextInt(3);
          checker.sent(revision);
          write(rev, revision, 4, then);
        });
  }

  private void write(long base, long revision, int tries, Runnable then) {
    SimulatedNode n = anyUp();
    if (n == null || tries == 0) {
      then.run();
      return;
    }
    String text =
        "{\"revision\":"
            + revision
            + ",\"route_table\":[],\"service_table\":"
            + services
            + ",\"subscribers\":["
            + "{\"name\":\""
            + TENANT
            + "\",\"access_keys\":[\""
            + InvariantChecker.keyOf(revision)
            + "\",\""
            + InvariantChecker.keyOf(base)
            + "\"],\"rate_per_s\":"
            + RATE
            + ",\"burst_size\":"
            + BURST
            + "}]}";
    boolean[] first = {tries == 4};
    n.node.ask(
        new WireRecord("ask")
            .with("op", "write")
            .with("kind", "replace")
            .with("base", base)
            .with("text", CompressedPayload.pack(text)),
        900_000,
        250_000,
        r -> {
          if (r == null) {
            world.at(100_000, () -> write(base, revision, tries - 1, then));
            return;
          }
          if (r.number("status") == 200) {
            checker.acknowledged(base, revision);
            checker.keysAcknowledged(base, revision);
          } else if (first[0]) {
            checker.refused(revision);
          }
          then.run();
        });
  }

  void read(Consumer<Long> use) {
    SimulatedNode n = anyUp();
    if (n == null) {
      use.accept(-1L);
      return;
    }
    long before = checker.newestAcknowledged();
    n.node.ask(
        new WireRecord("ask").with("op", "read"),
        900_000,
        250_000,
        r -> {
          if (r == null) {
            use.accept(-1L);
          } else {
            checker.readBack(before, r.number("rev"));
            use.accept(r.number("rev"));
          }
        });
  }

  // --------------------------------------------------------------- clients

  private void client() {
    if (!calling) {
      return;
    }
    world.at(10_000 + world.random.nextInt(20_000), this::client);
    SimulatedNode n = anyUp();
    if (n == null) {
      return;
    }
    int span = Math.min(keyNumber, 40);
    boolean repeat = span > 0 && world.random.nextInt(3) == 0;
    String key = "k" + (repeat ? keyNumber - world.random.nextInt(span) : ++keyNumber);
    claim(n, key, "t" + ++tokenNumber);
  }

  void claim(SimulatedNode n, String key, String token) {
    org.otterpond.control.agent.ControlPlaneAgent node = n.node;
    node.ask(
        new WireRecord("ask")
            .with("op", "claim")
            .with("key", key)
            .with("token", token)
            .with("holder", n.address),
        600_000,
        200_000,
        r -> {
          if (r == null) {
            // Given up before anything was sent: it never runs.
            tell(node, "free", key, token);
          } else if (r.truth("granted")) {
            checker.ran(key, token);
            world.at(
                20_000 + world.random.nextInt(80_000),
                () -> {
                  if (world.random.nextInt(10) == 0) {
                    checker.disowned(key, token);
                    tell(node, "free", key, token);
                  }
                });
          }
        });
  }

  private static void tell(
      org.otterpond.control.agent.ControlPlaneAgent node, String op, String key, String token) {
    node.ask(
        new WireRecord("ask").with("op", op).with("key", key).with("token", token),
        2_000_000,
        300_000,
        x -> {});
  }

  // --------------------------------------------------------------- tenants

  /**
   * Clients of one tenant, who ask for more than its quota and use every access key that there has
   * been.
   */
  void tenants() {
    world.at(0, this::tenantCalls);
  }

  private void tenantCalls() {
    if (!calling) {
      return;
    }
    world.at(2_000 + world.random.nextInt(3_000), this::tenantCalls);
    SimulatedNode n = anyUp();
    if (n == null) {
      return;
    }
    n.perform(() -> admit(n));
  }

  /** As the data path does: the node's word must be fresh, the key known, and a token had. */
  void admit(SimulatedNode n) {
    if (n.configuration == null || world.now() - n.node.freshAt() >= REVOKE - 250_000) {
      return;
    }
    for (Tenant s : n.configuration.tenants()) {
      s.keys().forEach(k -> checker.keyRuns(n.address, k, REVOKE));
    }
    n.node
        .stores()
        .want(
            TENANT,
            new QuotaCache.Taker() {
              private boolean done;
              private final long until = world.now() + 1_000_000;

              @Override
              public boolean waits() {
                return !done && world.now() < until;
              }

              @Override
              public void taken() {
                done = true;
                checker.countedRun();
              }

              @Override
              public void over(double retryAfter) {
                done = true;
              }
            });
  }

  WorkerInstance worker(String id, WorkerState state, long sequence) {
    return new WorkerInstance(id, "svc", "10.0.0.1:80", "z", "v1", 4, state, sequence, 0);
  }

  /** What the log holds last, for a failed test. */
  String tail() {
    int n = world.log.size();
    return String.join("\n", world.log.subList(Math.max(0, n - 60), n));
  }
}
