package org.otterpond.server;

import java.io.IOException;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.messaging.MessageDispatcher;
import org.otterpond.net.EventLoop;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.storage.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a storage node, which stores messages and delivers them; it takes no client calls. */
final class MessageStoreNode {
  private static final Logger LOG = LoggerFactory.getLogger(MessageStoreNode.class);

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final Runnable end;

  MessageStoreNode(EventLoop eventLoop, NodeSettings settings, Runnable end) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.end = end;
  }

  /**
   * Opens the disk and the sockets; the node begins to work when the event loop runs.
   *
   * @return the node's shutdown
   */
  GracefulShutdown start() throws IOException, StorageException {
    if (settings.dataDir() == null) {
      throw new StorageException("data_dir: a role that serves storage needs a disk", null);
    }
    ProductionRuntime runtime = new ProductionRuntime(eventLoop);
    MessageDispatcher dispatcher = new MessageDispatcher(eventLoop, settings, new ProxyMetrics());
    MessageStoreServer storeServer =
        new MessageStoreServer(eventLoop, runtime, settings, dispatcher);
    ControlPlaneAgent agent =
        new ControlPlaneAgent(
            runtime,
            identity(storeServer.diskId()),
            dispatcher,
            ControlPlaneParts.settings(settings));
    dispatcher.fit(agent, storeServer.store());
    runtime.connect(ControlPlaneParts.transport(eventLoop, settings, agent), null);
    eventLoop.execute(agent::start);
    eventLoop.execute(storeServer.store()::start);
    LOG.info(
        "event=started node={} zone={} store={} first={}",
        settings.nodeName(),
        settings.zone(),
        storeServer.diskId(),
        settings.initialStart());
    return new GracefulShutdown(
        eventLoop, settings, new MessageStoreShutdown(storeServer.store(), dispatcher), end);
  }

  private NodeIdentity identity(String storeId) {
    return new NodeIdentity(
        settings.internalAddress(),
        settings.nodeName(),
        settings.zone(),
        null,
        false,
        settings.initialStart(),
        settings.seedAddresses(),
        RandomIds.incarnation(),
        storeId);
  }
}
