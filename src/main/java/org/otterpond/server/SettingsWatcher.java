package org.otterpond.server;

import java.nio.file.Path;
import org.otterpond.config.ConfigException;
import org.otterpond.config.NodeSettings;
import org.otterpond.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Validates the settings file when it changes and logs the result. No setting takes effect before
 * the next start, so an invalid file changes nothing. Owned by the event loop's thread.
 */
final class SettingsWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatcher.class);
  private static final long CHECK_MICROS = 2_000_000;

  private final EventLoop eventLoop;
  private final Path file;
  private final NodeSettings settings;
  private long lastModifiedMillis;

  /**
   * Creates a watcher.
   *
   * @param settings the settings in use
   */
  SettingsWatcher(EventLoop eventLoop, Path file, NodeSettings settings) {
    this.eventLoop = eventLoop;
    this.file = file;
    this.settings = settings;
  }

  /** Starts to check the file for changes. */
  void start() {
    lastModifiedMillis = file.toFile().lastModified();
    eventLoop.after(CHECK_MICROS, this::check);
  }

  private void check() {
    long modifiedMillis = file.toFile().lastModified();
    if (modifiedMillis != lastModifiedMillis) {
      lastModifiedMillis = modifiedMillis;
      reload();
    }
    eventLoop.after(CHECK_MICROS, this::check);
  }

  /** Reads the file on the owner thread; may be called by any thread. */
  void reload() {
    eventLoop.execute(this::read);
  }

  private void read() {
    try {
      NodeSettings current = NodeSettings.load(file);
      LOG.info("event=settings_reread changed={}", !current.equals(settings));
    } catch (ConfigException e) {
      LOG.warn("event=settings_invalid kept=old cause=\"{}\"", e.getMessage());
    }
  }
}
