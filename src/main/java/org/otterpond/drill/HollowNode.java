package org.otterpond.drill;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.otterpond.chart.Configuration;
import org.otterpond.harbour.Deck;
import org.otterpond.harbour.HarbourNode;
import org.otterpond.harbour.HarbourTerms;
import org.otterpond.harbour.NodeIdentity;
import org.otterpond.harbour.QuotaTerms;
import org.otterpond.harbour.Shore;
import org.otterpond.harbour.Vessel;
import org.otterpond.harbour.VesselState;
import org.otterpond.harbour.WatchTimes;
import org.otterpond.quay.Links;
import org.otterpond.quay.Quay;
import org.otterpond.signal.Flag;
import org.otterpond.signal.FlagCodec;

/** The control side of a node without its data path; many share one process, thread and clock. */
final class HollowNode implements Deck, Shore {
  private static final long HEARTBEAT = 1_500_000;

  private final Quay quay;
  private final Links links;
  final HarbourNode node;
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

  HollowNode(Quay quay, String address, String zone, List<String> seeds) throws IOException {
    this.quay = quay;
    this.node =
        new HarbourNode(
            this,
            new NodeIdentity(address, "hollow-" + address, zone, null, false, false, seeds, life),
            this,
            new HarbourTerms(
                HEARTBEAT,
                60_000_000,
                1,
                new QuotaTerms(5_000_000, 0.1, 20, WatchTimes.standard().lent())));
    this.links = new Links(quay, address, this::heard, node::peerLost);
  }

  private void heard(String from, Flag f) {
    heardMessages++;
    heardBytes += FlagCodec.encode(f).length;
    node.onMessage(from, f);
  }

  /** Workers of its own that beat here, as most would at a node with a disk. */
  void beats(List<String> ids, List<String> addresses, String service, long sequence) {
    for (int i = 0; i < ids.size(); i++) {
      node.beat(
          new Vessel(
              ids.get(i),
              service,
              addresses.get(i),
              "zone",
              "v1",
              4,
              VesselState.IN_SERVICE,
              sequence,
              0),
          ok -> {});
    }
    quay.after(HEARTBEAT, () -> beats(ids, addresses, service, sequence + 1));
  }

  /**
   * Claims operation keys, so many a second.
   *
   * @param repeats the part of the claims that are for a key claimed before, which the ledger
   *     answers
   */
  void claims(double perSecond, double repeats) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    quay.after(
        (long) (1e6 / perSecond * (0.5 + random.nextDouble())),
        () -> {
          boolean repeat = number > 0 && random.nextDouble() < repeats;
          String key = life + "-" + (repeat ? random.nextLong(number) + 1 : ++number);
          long asked = Quay.now();
          node.ask(
              new Flag("ask")
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

  private void answered(Flag r, long asked) {
    if (r != null && r.truth("granted")) {
      claimed++;
      claimMicros += Quay.now() - asked;
    } else if (r != null) {
      repeated++;
      repeatMicros += Quay.now() - asked;
    }
  }

  // --------------------------------------------------------------- effects

  @Override
  public long now() {
    return Quay.now();
  }

  @Override
  public void send(String address, Flag message) {
    sentMessages++;
    sentBytes += FlagCodec.encode(message).length;
    links.send(address, message);
  }

  @Override
  public void journal(Flag record, Consumer<Boolean> done) {
    throw new IllegalStateException("a hollow node has no disk");
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    quay.after(delayMicros, task);
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
  public void configured(Configuration configuration) {
    revision = configuration.revision();
    revisionAt = Quay.now();
  }

  @Override
  public void worker(Vessel vessel) {
    workers++;
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // There is no data path to be told.
  }

  @Override
  public Flag outcome(String key, String token) {
    return null;
  }
}
