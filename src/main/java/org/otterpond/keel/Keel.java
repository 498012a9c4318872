package org.otterpond.keel;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.otterpond.cargo.Dispatcher;
import org.otterpond.cargo.Pilotage;
import org.otterpond.cargo.Tally;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.Settings;
import org.otterpond.harbour.HarbourNode;
import org.otterpond.harbour.HarbourTerms;
import org.otterpond.harbour.LossTolerance;
import org.otterpond.harbour.NodeIdentity;
import org.otterpond.harbour.QuotaTerms;
import org.otterpond.harbour.WatchTimes;
import org.otterpond.keys.HoldTerms;
import org.otterpond.logbook.Logbook;
import org.otterpond.logbook.LogbookException;
import org.otterpond.quay.Call;
import org.otterpond.quay.CallHandler;
import org.otterpond.quay.FrontDoor;
import org.otterpond.quay.Links;
import org.otterpond.quay.Missive;
import org.otterpond.quay.Quay;
import org.otterpond.quay.Replies;
import org.otterpond.signal.Flag;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node, put together: the owner thread, its listening points, the control side, the data path,
 * the disk.
 */
public final class Keel {
  private static final Logger LOG = LoggerFactory.getLogger(Keel.class);
  private static final long SETTINGS_CHECK = 2_000_000;
  private static final long LEAVE_LEAST = 3_200_000;
  private static final long LEAVE_MARGIN = 700_000;

  /** So long before the last moment nothing new is taken on: it could hardly be finished. */
  private static final long LEAVE_LAST = 800_000;

  /** For the last answers to go out, and for claims that are in flight to be freed. */
  private static final long LEAVE_FLUSH = 200_000;

  private static final long STORE_CHECK = 100_000;
  private static final long BODY_BOUND = 8L << 20;

  private final Path file;
  private final Quay quay;
  private final Settings settings;
  private Pilotage pilotage;
  private FrontDoor front;
  private Dispatcher dispatcher;
  private StoreHouse store;
  private long lastModified;
  private boolean leaving;
  private final Runnable end;

  public Keel(Path file, Settings settings) throws IOException {
    this(file, settings, () -> Runtime.getRuntime().halt(0));
  }

  /**
   * @param end what ends the process once the node has left
   */
  Keel(Path file, Settings settings, Runnable end) throws IOException {
    this.file = file;
    this.settings = settings;
    this.end = end;
    this.quay = new Quay();
  }

  /** Runs until the node ends in order. */
  public void run() throws IOException, LogbookException {
    long life = Math.abs(new SecureRandom().nextLong());
    ShipsDeck deck = new ShipsDeck(quay);
    if (settings.storage()) {
      runStore(deck, life);
      return;
    }
    Logbook logbook = null;
    String diskId = null;
    boolean blank = false;
    if (settings.dataDir() != null) {
      logbook = new Logbook(Path.of(settings.dataDir()));
      Flag base = logbook.open();
      blank = base == null;
      diskId =
          blank ? Long.toHexString(Math.abs(new SecureRandom().nextLong())) : base.text("disk");
      if (blank) {
        makeIdentity(logbook, diskId);
      }
    }
    String id = diskId;
    boolean isBlank = blank;
    Tally tally = new Tally();
    pilotage =
        new Pilotage(
            quay,
            settings,
            shore ->
                new HarbourNode(
                    deck,
                    new NodeIdentity(
                        settings.internalAddress(),
                        settings.nodeName(),
                        settings.zone(),
                        id,
                        isBlank,
                        settings.initialStart(),
                        settings.seedAddresses(),
                        life),
                    shore,
                    terms()),
            life,
            tally);
    HarbourNode node = pilotage.node();
    Links links = new Links(quay, settings.internalAddress(), node::onMessage, node::peerLost);
    deck.fit(
        links,
        logbook == null
            ? null
            : new Purser(quay, logbook, id, node::journalBase, (long) settings.diskMb() << 20));
    if (logbook != null) {
      logbook.replay(node::replay);
      node.replayed();
    }
    listen(node, tally);
    lastModified = file.toFile().lastModified();
    quay.after(SETTINGS_CHECK, this::watchSettings);
    quay.execute(node::start);
    LOG.info(
        "event=started node={} zone={} disk={} blank={} first={}",
        settings.nodeName(),
        settings.zone(),
        id == null ? "none" : id,
        blank,
        settings.initialStart());
    quay.run();
  }

  /** A machine that stores messages and delivers them; it takes no calls from outside. */
  private void runStore(ShipsDeck deck, long life) throws IOException, LogbookException {
    if (settings.dataDir() == null) {
      throw new LogbookException("data_dir: a role that serves storage needs a disk", null);
    }
    Tally tally = new Tally();
    dispatcher = new Dispatcher(quay, settings, tally);
    store = new StoreHouse(quay, deck, settings, dispatcher);
    HarbourNode node =
        new HarbourNode(
            deck,
            new NodeIdentity(
                settings.internalAddress(),
                settings.nodeName(),
                settings.zone(),
                null,
                false,
                settings.initialStart(),
                settings.seedAddresses(),
                life,
                store.diskId),
            dispatcher,
            terms());
    dispatcher.fit(node, store.depot);
    deck.fit(new Links(quay, settings.internalAddress(), node::onMessage, node::peerLost), null);
    lastModified = file.toFile().lastModified();
    quay.after(SETTINGS_CHECK, this::watchSettings);
    quay.execute(node::start);
    quay.execute(store.depot::start);
    LOG.info(
        "event=started node={} zone={} store={} first={}",
        settings.nodeName(),
        settings.zone(),
        store.diskId,
        settings.initialStart());
    quay.run();
  }

  private HarbourTerms terms() {
    return new HarbourTerms(
        settings.heartbeatMicros(),
        settings.keyWindowMicros(),
        new LossTolerance(
            settings.faults(), settings.zoneFaults(), settings.regionFaults(), settings.regionOf()),
        new QuotaTerms(
            settings.quotaWindowMicros(),
            settings.quotaExcess(),
            settings.quotaSlack(),
            WatchTimes.standard().lent(),
            settings.ceilingWindowMicros(),
            settings.ceilingExcess() - 1),
        HoldTerms.of(settings.holdMicros(), settings.thawMicros()));
  }

  private static void makeIdentity(Logbook logbook, String diskId) throws LogbookException {
    for (int i = 0; ; i++) {
      try {
        logbook.rotate(diskId, List.of());
        return;
      } catch (LogbookException e) {
        LOG.warn("event=disk_not_ready cause=\"{}\"", e.getCause().toString());
        if (i >= 60) {
          throw e;
        }
        try {
          Thread.sleep(500);
        } catch (InterruptedException ie) {
          Thread.currentThread().interrupt();
          throw e;
        }
      }
    }
  }

  private void listen(HarbourNode node, Tally tally) throws IOException {
    int connections = Math.max(64, (settings.fileDescriptors() - 300) / 2);
    if (settings.frontPoint() != null) {
      front =
          new FrontDoor(
              quay, pilotage, Links.address(settings.frontPoint()), connections, BODY_BOUND);
    }
    if (settings.readinessPoint() != null) {
      new FrontDoor(quay, new Readiness(), Links.address(settings.readinessPoint()), 64, 1024);
    }
    if (settings.controlPoint() != null) {
      new FrontDoor(
          quay,
          new HarbourOffice(node, new MetricsPage(tally, pilotage, node), settings.controlPoint()),
          Links.address(settings.controlPoint()),
          400,
          16L << 20);
    }
  }

  private final class Readiness implements CallHandler {
    @Override
    public void handle(Call call) {
      Missive r = call.request();
      if (!r.path().equals("/-/readiness")) {
        call.answer(Replies.problem(404, "no such call"));
      } else if (pilotage.ready()) {
        call.answer(Replies.json(200, "{\"ready\":true}"));
      } else {
        call.answer(Replies.json(503, "{\"ready\":false}"));
      }
    }
  }

  // -------------------------------------------------------------- settings

  private void watchSettings() {
    long m = file.toFile().lastModified();
    if (m != lastModified) {
      lastModified = m;
      reload();
    }
    quay.after(SETTINGS_CHECK, this::watchSettings);
  }

  /**
   * Reads the settings again. What can change in a running node does; a bad file changes nothing.
   */
  public void reload() {
    quay.execute(
        () -> {
          try {
            Settings fresh = Settings.load(file);
            LOG.info("event=settings_reread changed={}", !fresh.equals(settings));
          } catch (ChartException e) {
            LOG.warn("event=settings_invalid kept=old cause=\"{}\"", e.getMessage());
          }
        });
  }

  // --------------------------------------------------------------- leaving

  /** A planned end: not ready any more, duties handed over, everything in hand finished. */
  public void leave() {
    quay.execute(
        () -> {
          if (leaving) {
            return;
          }
          leaving = true;
          LOG.info("event=leaving node={}", settings.nodeName());
          if (store != null) {
            store.depot.retire();
            long most = Quay.now() + settings.graceMicros() - LEAVE_MARGIN - LEAVE_FLUSH;
            quay.after(STORE_CHECK, () -> checkHandedOver(most));
            return;
          }
          pilotage.leave();
          pilotage.node().retire();
          long last = settings.graceMicros() - LEAVE_MARGIN - LEAVE_FLUSH;
          long by = Quay.now() + last;
          quay.after(Math.max(0, last - LEAVE_LAST), pilotage::close);
          quay.after(Math.min(LEAVE_LEAST, Math.max(0, last)), () -> checkLeft(by));
        });
  }

  private void checkHandedOver(long by) {
    boolean quiet = store.depot.handedOver() && dispatcher.open() == 0;
    if (!quiet && Quay.now() < by) {
      store.depot.retire();
      quay.after(STORE_CHECK, () -> checkHandedOver(by));
      return;
    }
    LOG.info("event=left node={} quiet={}", settings.nodeName(), quiet);
    quay.after(LEAVE_FLUSH, end);
  }

  private void checkLeft(long by) {
    boolean late = Quay.now() >= by;
    boolean busy = pilotage.open() > 0 || (front != null && front.busy());
    // The core may still count on what is held here: this node ends once the newest epoch does
    // without it.
    boolean needed = pilotage.node().needed();
    if (!late && (busy || needed)) {
      quay.after(50_000, () -> checkLeft(by));
      return;
    }
    LOG.info("event=left node={} busy={} needed={}", settings.nodeName(), busy, needed);
    pilotage.endAll();
    if (front != null) {
      front.closeIdle();
    }
    quay.after(busy ? LEAVE_FLUSH : 50_000, end);
  }
}
