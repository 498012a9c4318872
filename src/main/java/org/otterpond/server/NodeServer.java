package org.otterpond.server;

import java.io.IOException;
import java.nio.file.Path;
import org.otterpond.config.NodeSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.storage.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life cycle of one node: start, reload of its settings, graceful shutdown. {@link GatewayNode}
 * and {@link MessageStoreNode} assemble the node of each role.
 */
public final class NodeServer {
  private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final SettingsWatcher settingsWatcher;
  private final Runnable end;

  /** Set before the event loop runs; from then on used by the owner thread only. */
  private GracefulShutdown shutdown;

  private boolean shuttingDown;

  /**
   * Creates a node that ends the process once it has shut down.
   *
   * @param file the settings file
   * @param settings the settings that were read from it
   * @throws IOException if the event loop cannot be created
   */
  public NodeServer(Path file, NodeSettings settings) throws IOException {
    this(file, settings, () -> Runtime.getRuntime().halt(0));
  }

  /**
   * Creates a node.
   *
   * @param end called once the node has shut down
   * @throws IOException if the event loop cannot be created
   */
  NodeServer(Path file, NodeSettings settings, Runnable end) throws IOException {
    this.settings = settings;
    this.end = end;
    this.eventLoop = new EventLoop();
    this.settingsWatcher = new SettingsWatcher(eventLoop, file, settings);
  }

  /**
   * Assembles the node and runs it on the calling thread, which becomes its owner thread.
   *
   * @throws IOException if a listener cannot be opened
   * @throws StorageException if the disk cannot be read or prepared
   */
  public void run() throws IOException, StorageException {
    shutdown =
        settings.storage()
            ? new MessageStoreNode(eventLoop, settings, end).start()
            : new GatewayNode(eventLoop, settings, end).start();
    settingsWatcher.start();
    eventLoop.run();
  }

  /** Reads the settings file again; may be called by any thread. An invalid file is ignored. */
  public void reload() {
    settingsWatcher.reload();
  }

  /** Shuts the node down gracefully; may be called by any thread, and more than once. */
  public void leave() {
    eventLoop.execute(this::beginShutdown);
  }

  private void beginShutdown() {
    if (shuttingDown) {
      return;
    }
    shuttingDown = true;
    LOG.info("event=leaving node={}", settings.nodeName());
    shutdown.begin();
  }
}
