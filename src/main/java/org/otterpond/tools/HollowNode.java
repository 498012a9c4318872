package org.otterpond.tools;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.runtime.NodeRuntime;

/** The control side of a node without its data path; many share one process, thread and clock. */
final class HollowNode implements NodeRuntime, DataPlane {
  private static final long HEARTBEAT = 1_500_000;

  private final EventLoop eventLoop;
  private final PeerTransport links;
  final ControlPlaneAgent node;
  long sentBytes;
  long sentMessages;
  long heardBytes;
  long heardMessages;
  long claimed;
  long claimMicros;
  long repeated;
  long repeatMicros;
  long revision;
  long revisionAt;
  int workers;
  private long number;
  private final long life = ThreadLocalRandom.current().nextLong() >>> 1;

  HollowNode(EventLoop eventLoop, String address, String zone, List<String> seeds)
      throws IOException {
    this.eventLoop = eventLoop;
    this.node =
        new ControlPlaneAgent(
            this,
            new NodeIdentity(address, "hollow-" + address, zone, null, false, false, seeds, life),
            this,
            new ControlPlaneSettings(
                HEARTBEAT,
                60_000_000,
                1,
                new QuotaSettings(5_000_000, 0.1, 20, EpochTimeouts.standard().lent())));
    this.links = new PeerTransport(eventLoop, address, this::heard, node::peerLost);
  }

  private void heard(String from, WireRecord f) {
    heardMessages++;
    heardBytes += WireRecordCodec.encode(f).length;
    node.onMessage(from, f);
  }

  /** Workers of its own that beat here, as most would at a node with a disk. */
  void beats(List<String> ids, List<String> addresses, String service, long sequence) {
    for (int i = 0; i < ids.size(); i++) {
      node.beat(
          new WorkerInstance(
              ids.get(i),
              service,
              addresses.get(i),
              "zone",
              "v1",
              4,
              WorkerState.IN_SERVICE,
              sequence,
              0),
          ok -> {});
    }
    eventLoop.after(HEARTBEAT, () -> beats(ids, addresses, service, sequence + 1));
  }

  /**
   * Claims operation keys, so many a second.
   *
   * @param repeats the part of the claims that are for a key claimed before, which the ledger
   *     answers
   */
  void claims(double perSecond, double repeats) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    eventLoop.after(
        (long) (1e6 / perSecond * (0.5 + random.nextDouble())),
        () -> {
          boolean repeat = number > 0 && random.nextDouble() < repeats;
          String key = life + "-" + (repeat ? random.nextLong(number) + 1 : ++number);
          long asked = EventLoop.now();
          node.ask(
              new WireRecord("ask")
                  .with("op", "claim")
                  .with("key", "host h\n" + key)
                  .with("token", repeat ? key + "-" + asked : key)
                  .with("holder", node.toString()),
              1_000_000,
              300_000,
              r -> answered(r, asked));
          claims(perSecond, repeats);
        });
  }

  private void answered(WireRecord r, long asked) {
    if (r != null && r.truth("granted")) {
      claimed++;
      claimMicros += EventLoop.now() - asked;
    } else if (r != null) {
      repeated++;
      repeatMicros += EventLoop.now() - asked;
    }
  }

  // --------------------------------------------------------------- effects

  @Override
  public long now() {
    return EventLoop.now();
  }

  @Override
  public void send(String address, WireRecord message) {
    sentMessages++;
    sentBytes += WireRecordCodec.encode(message).length;
    links.send(address, message);
  }

  @Override
  public void journal(WireRecord record, Consumer<Boolean> done) {
    throw new IllegalStateException("a hollow node has no disk");
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    eventLoop.after(delayMicros, task);
  }

  @Override
  public long random(long bound) {
    return ThreadLocalRandom.current().nextLong(bound);
  }

  @Override
  public void event(String line) {
    // Hundreds of them would drown what matters.
  }

  // ------------------------------------------------------------------ news

  @Override
  public void configured(GatewayConfiguration configuration) {
    revision = configuration.revision();
    revisionAt = EventLoop.now();
  }

  @Override
  public void worker(WorkerInstance worker) {
    workers++;
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // There is no data path to be told.
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }
}
