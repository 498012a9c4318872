package org.otterpond.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.chart.Configuration;
import org.otterpond.harbour.Deck;
import org.otterpond.harbour.HarbourNode;
import org.otterpond.harbour.HarbourTerms;
import org.otterpond.harbour.LossTolerance;
import org.otterpond.harbour.NodeIdentity;
import org.otterpond.harbour.Vessel;
import org.otterpond.keys.RangeTable;
import org.otterpond.message.Depot;
import org.otterpond.message.StoreTerms;
import org.otterpond.replica.GroupTimes;
import org.otterpond.replica.GroupView;
import org.otterpond.signal.Flag;

/** One machine with one node on it, driving the same state machines as the daemon. */
final class SimNode {
  private final SimWorld world;
  private final Checker checker;
  final String address;
  String zone = "z";

  /** Decides only how far away others are. */
  String region = "r";

  final SimDisk disk;
  private final List<String> seeds;

  /** What the deployment says may be lost. */
  LossTolerance losses;

  private boolean firstStart = true;
  private SimDeck deck;
  HarbourNode node;
  final Map<String, Vessel> workers = new HashMap<>();
  Configuration configuration;

  /** Told of every configuration that comes into force here. */
  Consumer<Configuration> onConfigured = c -> {};

  /** What this machine stores of messages, if it is one that does. */
  SimStoreDisk storeDisk;

  Depot depot;
  SimCourier courier;
  MessageChecker messages;
  SimWorkers keyWorkers;
  final RangeTable ranges = new RangeTable();
  final Map<Integer, GroupView> partitions = new HashMap<>();

  /**
   * Whether what the node sends to itself arrives at once, as in the daemon, and not by the
   * network.
   */
  boolean selfAtOnce;

  /** How long work takes that is done beside the owner thread, at least. */
  long readingMicros;

  private boolean frozen;

  /** Of a process that wakes: what it has put off to the end of its turn. */
  private Deque<Runnable> soon;

  private boolean dark;
  private final FrozenTasks frozenTasks = new FrozenTasks();

  SimNode(
      SimWorld world,
      Checker checker,
      String address,
      boolean withDisk,
      List<String> seeds,
      int faults) {
    this.losses = LossTolerance.ofMachines(faults);
    this.world = world;
    this.checker = checker;
    this.address = address;
    this.disk = withDisk ? new SimDisk(world) : null;
    this.seeds = seeds;
  }

  boolean up() {
    return node != null;
  }

  /**
   * Whether the machine runs but no process listens: a connection is refused, so the sender knows.
   */
  boolean refuses() {
    return node == null && !dark;
  }

  void peerLost(String address) {
    peerLost(address, true);
  }

  /** A connection to another node never came up, or was closed from there. */
  void peerLost(String address, boolean neverUp) {
    if (node != null) {
      SimDeck d = deck;
      d.perform(address, () -> node.peerLost(address, neverUp));
    }
  }

  boolean frozen() {
    return frozen;
  }

  boolean leading() {
    return node != null && !frozen && node.leading();
  }

  void start() {
    if (node != null) {
      return;
    }
    dark = false;
    deck = new SimDeck();
    workers.clear();
    partitions.clear();
    configuration = null;
    long life = world.random.nextLong() >>> 1;
    boolean blank = disk != null && disk.blank();
    checker.started(address, life);
    node =
        new HarbourNode(
            deck,
            new NodeIdentity(
                address,
                address,
                zone,
                disk == null ? null : disk.id,
                blank,
                firstStart,
                seeds,
                life,
                storeDisk == null ? null : storeDisk.id),
            new SimShore(this, checker, life, deck::perform),
            new HarbourTerms(1_500_000, Checker.WINDOW, losses, SimFleet.QUOTA));
    if (disk != null && !blank) {
      node.replay(disk.read());
    }
    firstStart = false;
    if (storeDisk != null) {
      SimDeck d = deck;
      courier = new SimCourier(world, messages, d::perform);
      depot =
          new Depot(
              deck,
              storeDisk.id,
              address,
              storeDisk.attached(d::perform),
              new StoreTerms(300_000_000, 30_000_000, 100_000, GroupTimes.standard()),
              courier);
      courier.depot = depot;
      depot.fit(node);
      storeDisk.read().forEach((place, f) -> depot.replay(f, place));
      depot.start();
    }
    node.start();
  }

  /** A machine added later never takes part in the founding. */
  void joinLate() {
    firstStart = false;
    start();
  }

  void kill() {
    if (node != null) {
      deck.alive = false;
      node = null;
      frozen = false;
      frozenTasks.clear();
      if (disk != null) {
        disk.processDied();
      }
      if (storeDisk != null) {
        storeDisk.processDied();
      }
    }
  }

  void losePower() {
    dark = true;
    if (disk != null) {
      disk.losePower();
    }
    if (storeDisk != null) {
      storeDisk.losePower();
    }
    if (node != null) {
      deck.alive = false;
      node = null;
      frozen = false;
      frozenTasks.clear();
    }
  }

  void freeze() {
    frozen = node != null;
  }

  /** Wakes the process, which finds everything in the order in which it came. */
  void thaw() {
    frozen = false;
    frozenTasks.inOrder().forEach(Runnable::run);
  }

  /**
   * Wakes the process, which reads its sockets before it looks at its timers, or the other way
   * round. It works off what it finds in turns; what it puts off to "soon", messages to itself
   * among it, runs at the end of each.
   */
  void thaw(boolean socketsFirst, Random random) {
    if (frozen) {
      turn(deck, new ArrayDeque<>(frozenTasks.apart(socketsFirst, random)), random);
    }
  }

  private void turn(SimDeck life, Deque<Runnable> left, Random random) {
    if (deck != life || !life.alive) {
      return;
    }
    frozen = false;
    soon = new ArrayDeque<>();
    for (int n = 1 + random.nextInt(8); n > 0 && !left.isEmpty(); n--) {
      left.poll().run();
    }
    for (int n = soon.size(); n > 0; n--) {
      soon.poll().run();
    }
    left.addAll(soon);
    soon = null;
    if (!left.isEmpty()) {
      // What arrives meanwhile waits behind what is there.
      frozen = true;
      world.at(
          20,
          () -> {
            left.addAll(frozenTasks.inOrder());
            turn(life, left, random);
          });
    }
  }

  /** Does something on the node's own thread: later, if it is frozen. */
  void perform(Runnable task) {
    if (node != null) {
      deck.perform(task);
    }
  }

  /** Does what a caller asks on a connection of its own. */
  void call(String connection, Runnable task) {
    if (node != null) {
      deck.perform(connection, task);
    }
  }

  void deliver(String from, Flag f) {
    if (node == null) {
      return;
    }
    SimDeck d = deck;
    d.perform(from, () -> node.onMessage(from, f));
  }

  private final class SimDeck implements Deck {
    private boolean alive = true;

    private void perform(Runnable task) {
      perform(null, task);
    }

    /** What came on a connection, or, where that is null, of the process's own. */
    private void perform(String connection, Runnable task) {
      if (!alive) {
        return;
      }
      if (frozen) {
        frozenTasks.add(connection, () -> perform(connection, task));
      } else {
        task.run();
        if (node != null && alive && node.leading()) {
          checker.leads(address, node.known().epoch());
        }
      }
    }

    @Override
    public long now() {
      return world.now();
    }

    @Override
    public void send(String to, Flag message) {
      if (selfAtOnce && to.equals(address)) {
        after(0, () -> node.onMessage(address, message));
      } else {
        world.send(address, to, message);
      }
    }

    @Override
    public void journal(Flag record, Consumer<Boolean> done) {
      disk.append(record, ok -> perform(() -> done.accept(ok)));
    }

    @Override
    public void after(long delay, Runnable task) {
      if (delay == 0 && soon != null) {
        soon.add(() -> perform(task));
      } else {
        world.at(delay, () -> perform(task));
      }
    }

    @Override
    public void apart(Runnable work, Runnable then) {
      work.run();
      after(readingMicros + world.random.nextInt(20_000), then);
    }

    @Override
    public long random(long bound) {
      return Math.floorMod(world.random.nextLong(), bound);
    }

    @Override
    public void event(String line) {
      world.event(address, line);
    }
  }
}
