package org.otterpond.server;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.messaging.MessageIngestHandler;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpListener;
import org.otterpond.net.PeerTransport;
import org.otterpond.proxy.ProxyHandler;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.storage.LogBase;
import org.otterpond.storage.StorageException;
import org.otterpond.storage.WriteAheadLog;
import org.otterpond.storage.WriteAheadLogWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a gateway node: control plane, data path, listeners and, on a core node, the disk. */
final class GatewayNode {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayNode.class);

  /** File descriptors that are not for client connections. */
  private static final int RESERVED_FILE_DESCRIPTORS = 300;

  /** Descriptors of one client's request: its own connection and one to a worker. */
  private static final int DESCRIPTORS_PER_CLIENT = 2;

  private static final int MIN_FRONT_CONNECTIONS = 64;
  private static final long FRONT_MAX_BODY_BYTES = 8L << 20;
  private static final int READINESS_CONNECTIONS = 64;
  private static final long READINESS_MAX_BODY_BYTES = 1024;
  private static final int CONTROL_CONNECTIONS = 400;
  private static final long CONTROL_MAX_BODY_BYTES = 16L << 20;

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final Runnable end;
  private final ProductionRuntime runtime;
  private final ProxyMetrics metrics = new ProxyMetrics();
  private final long incarnation = RandomIds.incarnation();

  /**
   * The disk of a core node.
   *
   * @param log its log, open
   * @param id its identity
   * @param blank whether it had no log before this start
   */
  private record CoreDisk(WriteAheadLog log, String id, boolean blank) {}

  GatewayNode(EventLoop eventLoop, NodeSettings settings, Runnable end) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.end = end;
    this.runtime = new ProductionRuntime(eventLoop);
  }

  /**
   * Opens the disk and the sockets; the node begins to work when the event loop runs.
   *
   * @return the node's shutdown
   */
  GracefulShutdown start() throws IOException, StorageException {
    CoreDisk disk = settings.dataDir() == null ? null : openDisk();
    ProxyHandler proxy = createProxy(identity(disk));
    ControlPlaneAgent agent = proxy.agent();
    proxy.setMessageRequestHandler(
        new MessageIngestHandler(eventLoop, agent, incarnation, metrics));
    PeerTransport transport = ControlPlaneParts.transport(eventLoop, settings, agent);
    runtime.connect(transport, disk == null ? null : logWriter(disk, agent));
    if (disk != null) {
      disk.log().replay(agent::replay);
      agent.replayed();
    }
    HttpListener front = listen(proxy);
    eventLoop.execute(agent::start);
    LOG.info(
        "event=started node={} zone={} disk={} blank={} first={}",
        settings.nodeName(),
        settings.zone(),
        disk == null ? "none" : disk.id(),
        disk != null && disk.blank(),
        settings.initialStart());
    return new GracefulShutdown(
        eventLoop, settings, new GatewayShutdown(eventLoop, proxy, front), end);
  }

  private CoreDisk openDisk() throws StorageException {
    WriteAheadLog log = new WriteAheadLog(Path.of(settings.dataDir()));
    LogBase base = log.open();
    if (base != null) {
      return new CoreDisk(log, base.diskId(), false);
    }
    String id = RandomIds.diskId();
    DiskPreparation.run(() -> log.rotate(id, List.of()));
    return new CoreDisk(log, id, true);
  }

  private NodeIdentity identity(CoreDisk disk) {
    return new NodeIdentity(
        settings.internalAddress(),
        settings.nodeName(),
        settings.zone(),
        disk == null ? null : disk.id(),
        disk != null && disk.blank(),
        settings.initialStart(),
        settings.seedAddresses(),
        incarnation);
  }

  private ProxyHandler createProxy(NodeIdentity identity) {
    return new ProxyHandler(
        eventLoop,
        settings,
        dataPlane ->
            new ControlPlaneAgent(
                runtime, identity, dataPlane, ControlPlaneParts.settings(settings)),
        incarnation,
        metrics);
  }

  private WriteAheadLogWriter logWriter(CoreDisk disk, ControlPlaneAgent agent) {
    long maxBytes = (long) settings.diskMb() << 20;
    return new WriteAheadLogWriter(eventLoop, disk.log(), disk.id(), agent::journalBase, maxBytes);
  }

  /** Opens the listeners; returns the one for clients, or null if the settings name none. */
  private HttpListener listen(ProxyHandler proxy) throws IOException {
    HttpListener front = null;
    if (settings.frontAddress() != null) {
      front =
          new HttpListener(
              eventLoop,
              proxy,
              PeerTransport.address(settings.frontAddress()),
              maxFrontConnections(),
              FRONT_MAX_BODY_BYTES);
    }
    if (settings.readinessAddress() != null) {
      new HttpListener(
          eventLoop,
          new ReadinessHandler(proxy),
          PeerTransport.address(settings.readinessAddress()),
          READINESS_CONNECTIONS,
          READINESS_MAX_BODY_BYTES);
    }
    if (settings.controlAddress() != null) {
      new HttpListener(
          eventLoop,
          controlApi(proxy),
          PeerTransport.address(settings.controlAddress()),
          CONTROL_CONNECTIONS,
          CONTROL_MAX_BODY_BYTES);
    }
    return front;
  }

  private int maxFrontConnections() {
    int descriptors = settings.fileDescriptors() - RESERVED_FILE_DESCRIPTORS;
    return Math.max(MIN_FRONT_CONNECTIONS, descriptors / DESCRIPTORS_PER_CLIENT);
  }

  private ControlApiHandler controlApi(ProxyHandler proxy) {
    MetricsPage metricsPage = new MetricsPage(metrics, proxy, proxy.agent());
    return new ControlApiHandler(
        proxy.agent(), metricsPage, metrics.departures, settings.controlAddress());
  }
}
