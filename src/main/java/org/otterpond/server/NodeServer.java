package org.otterpond.server;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.otterpond.config.ConfigException;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.keyrange.KeyRangeLeaseSettings;
import org.otterpond.messaging.MessageDispatcher;
import org.otterpond.messaging.MessageIngestHandler;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpListener;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.PeerTransport;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;
import org.otterpond.proxy.ProxyHandler;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.storage.LogBase;
import org.otterpond.storage.StorageException;
import org.otterpond.storage.WriteAheadLog;
import org.otterpond.storage.WriteAheadLogWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node, put together: the owner thread, its listening points, the control side, the data path,
 * the disk.
 */
public final class NodeServer {
  private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);
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
  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private ProxyHandler proxy;
  private HttpListener front;
  private MessageDispatcher dispatcher;
  private MessageStoreServer store;
  private long lastModified;
  private boolean leaving;
  private final Runnable end;

  public NodeServer(Path file, NodeSettings settings) throws IOException {
    this(file, settings, () -> Runtime.getRuntime().halt(0));
  }

  /**
   * @param end what ends the process once the node has left
   */
  NodeServer(Path file, NodeSettings settings, Runnable end) throws IOException {
    this.file = file;
    this.settings = settings;
    this.end = end;
    this.eventLoop = new EventLoop();
  }

  /** Runs until the node ends in order. */
  public void run() throws IOException, StorageException {
    long life = Math.abs(new SecureRandom().nextLong());
    ProductionRuntime runtime = new ProductionRuntime(eventLoop);
    if (settings.storage()) {
      runStore(runtime, life);
      return;
    }
    WriteAheadLog log = null;
    String diskId = null;
    boolean blank = false;
    if (settings.dataDir() != null) {
      log = new WriteAheadLog(Path.of(settings.dataDir()));
      LogBase base = log.open();
      blank = base == null;
      diskId = blank ? Long.toHexString(Math.abs(new SecureRandom().nextLong())) : base.diskId();
      if (blank) {
        makeIdentity(log, diskId);
      }
    }
    String id = diskId;
    boolean isBlank = blank;
    ProxyMetrics tally = new ProxyMetrics();
    proxy =
        new ProxyHandler(
            eventLoop,
            settings,
            dataPlane ->
                new ControlPlaneAgent(
                    runtime,
                    new NodeIdentity(
                        settings.internalAddress(),
                        settings.nodeName(),
                        settings.zone(),
                        id,
                        isBlank,
                        settings.initialStart(),
                        settings.seedAddresses(),
                        life),
                    dataPlane,
                    terms()),
            life,
            tally);
    ControlPlaneAgent node = proxy.agent();
    proxy.setMessageRequestHandler(new MessageIngestHandler(eventLoop, node, life, tally));
    PeerTransport links =
        new PeerTransport(eventLoop, settings.internalAddress(), node::onMessage, node::peerLost);
    runtime.fit(
        links,
        log == null
            ? null
            : new WriteAheadLogWriter(
                eventLoop, log, id, node::journalBase, (long) settings.diskMb() << 20));
    if (log != null) {
      log.replay(node::replay);
      node.replayed();
    }
    listen(node, tally);
    lastModified = file.toFile().lastModified();
    eventLoop.after(SETTINGS_CHECK, this::watchSettings);
    eventLoop.execute(node::start);
    LOG.info(
        "event=started node={} zone={} disk={} blank={} first={}",
        settings.nodeName(),
        settings.zone(),
        id == null ? "none" : id,
        blank,
        settings.initialStart());
    eventLoop.run();
  }

  /** A machine that stores messages and delivers them; it takes no calls from outside. */
  private void runStore(ProductionRuntime runtime, long life) throws IOException, StorageException {
    if (settings.dataDir() == null) {
      throw new StorageException("data_dir: a role that serves storage needs a disk", null);
    }
    ProxyMetrics tally = new ProxyMetrics();
    dispatcher = new MessageDispatcher(eventLoop, settings, tally);
    store = new MessageStoreServer(eventLoop, runtime, settings, dispatcher);
    ControlPlaneAgent node =
        new ControlPlaneAgent(
            runtime,
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
    dispatcher.fit(node, store.store);
    runtime.fit(
        new PeerTransport(eventLoop, settings.internalAddress(), node::onMessage, node::peerLost),
        null);
    lastModified = file.toFile().lastModified();
    eventLoop.after(SETTINGS_CHECK, this::watchSettings);
    eventLoop.execute(node::start);
    eventLoop.execute(store.store::start);
    LOG.info(
        "event=started node={} zone={} store={} first={}",
        settings.nodeName(),
        settings.zone(),
        store.diskId,
        settings.initialStart());
    eventLoop.run();
  }

  private ControlPlaneSettings terms() {
    return new ControlPlaneSettings(
        settings.heartbeatMicros(),
        settings.keyWindowMicros(),
        new FaultTolerance(
            settings.faults(),
            settings.toleratedZones(),
            settings.toleratedRegions(),
            settings.regionOf()),
        new QuotaSettings(
            settings.quotaWindowMicros(),
            settings.quotaExcess(),
            settings.quotaSlack(),
            EpochTimeouts.standard().lent(),
            settings.ceilingWindowMicros(),
            settings.ceilingExcess() - 1),
        KeyRangeLeaseSettings.of(settings.holdMicros(), settings.thawMicros()));
  }

  private static void makeIdentity(WriteAheadLog log, String diskId) throws StorageException {
    for (int i = 0; ; i++) {
      try {
        log.rotate(diskId, List.of());
        return;
      } catch (StorageException e) {
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

  private void listen(ControlPlaneAgent node, ProxyMetrics tally) throws IOException {
    int connections = Math.max(64, (settings.fileDescriptors() - 300) / 2);
    if (settings.frontAddress() != null) {
      front =
          new HttpListener(
              eventLoop,
              proxy,
              PeerTransport.address(settings.frontAddress()),
              connections,
              BODY_BOUND);
    }
    if (settings.readinessAddress() != null) {
      new HttpListener(
          eventLoop, new Readiness(), PeerTransport.address(settings.readinessAddress()), 64, 1024);
    }
    if (settings.controlAddress() != null) {
      new HttpListener(
          eventLoop,
          new ControlApiHandler(
              node, new MetricsPage(tally, proxy, node), settings.controlAddress()),
          PeerTransport.address(settings.controlAddress()),
          400,
          16L << 20);
    }
  }

  private final class Readiness implements RequestHandler {
    @Override
    public void handle(ServerExchange call) {
      HttpMessage r = call.request();
      if (!r.path().equals("/-/readiness")) {
        call.answer(GatewayResponses.problem(404, "no such call"));
      } else if (proxy.ready()) {
        call.answer(GatewayResponses.json(200, "{\"ready\":true}"));
      } else {
        call.answer(GatewayResponses.json(503, "{\"ready\":false}"));
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
    eventLoop.after(SETTINGS_CHECK, this::watchSettings);
  }

  /**
   * Reads the settings again. What can change in a running node does; a bad file changes nothing.
   */
  public void reload() {
    eventLoop.execute(
        () -> {
          try {
            NodeSettings fresh = NodeSettings.load(file);
            LOG.info("event=settings_reread changed={}", !fresh.equals(settings));
          } catch (ConfigException e) {
            LOG.warn("event=settings_invalid kept=old cause=\"{}\"", e.getMessage());
          }
        });
  }

  // --------------------------------------------------------------- leaving

  /** A planned end: not ready any more, duties handed over, everything in hand finished. */
  public void leave() {
    eventLoop.execute(
        () -> {
          if (leaving) {
            return;
          }
          leaving = true;
          LOG.info("event=leaving node={}", settings.nodeName());
          if (store != null) {
            store.store.retire();
            long most = EventLoop.now() + settings.graceMicros() - LEAVE_MARGIN - LEAVE_FLUSH;
            eventLoop.after(STORE_CHECK, () -> checkHandedOver(most));
            return;
          }
          proxy.startDraining();
          proxy.agent().retire();
          long last = settings.graceMicros() - LEAVE_MARGIN - LEAVE_FLUSH;
          long by = EventLoop.now() + last;
          eventLoop.after(Math.max(0, last - LEAVE_LAST), proxy::close);
          eventLoop.after(Math.min(LEAVE_LEAST, Math.max(0, last)), () -> checkLeft(by));
        });
  }

  private void checkHandedOver(long by) {
    boolean quiet = store.store.isDrained() && dispatcher.open() == 0;
    if (!quiet && EventLoop.now() < by) {
      store.store.retire();
      eventLoop.after(STORE_CHECK, () -> checkHandedOver(by));
      return;
    }
    LOG.info("event=left node={} quiet={}", settings.nodeName(), quiet);
    eventLoop.after(LEAVE_FLUSH, end);
  }

  private void checkLeft(long by) {
    boolean late = EventLoop.now() >= by;
    boolean busy = proxy.inFlight() > 0 || (front != null && front.busy());
    // The core may still count on what is held here: this node ends once the newest epoch does
    // without it.
    boolean needed = proxy.agent().needed();
    if (!late && (busy || needed)) {
      eventLoop.after(50_000, () -> checkLeft(by));
      return;
    }
    LOG.info("event=left node={} busy={} needed={}", settings.nodeName(), busy, needed);
    proxy.endAll();
    if (front != null) {
      front.closeIdle();
    }
    eventLoop.after(busy ? LEAVE_FLUSH : 50_000, end);
  }
}
