package org.otterpond.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.otterpond.config.ConfigException;
import org.otterpond.config.NodeSettings;
import org.otterpond.server.NodeServer;
import org.otterpond.storage.StorageException;
import org.otterpond.tools.SelfTest;

/** The program: a node, or the operators' client. */
public final class Otterpond {
  private static final int BAD_SETTINGS = 2;

  private Otterpond() {}

  public static void main(String[] args) {
    if (args.length == 1 && args[0].equals("node")) {
      System.exit(node());
    }
    if (args.length == 1 && args[0].equals("self-test")) {
      System.exit(SelfTest.run());
    }
    System.exit(OtterpondCommand.execute(args));
  }

  private static int node() {
    String path = System.getenv("OTTERPOND_CONFIG");
    if (path == null || path.isEmpty()) {
      System.err.println("event=settings_invalid cause=\"OTTERPOND_CONFIG: not set\"");
      return BAD_SETTINGS;
    }
    NodeSettings settings;
    try {
      settings = NodeSettings.load(Path.of(path));
    } catch (ConfigException e) {
      System.err.println("event=settings_invalid cause=\"" + e.getMessage() + "\"");
      return BAD_SETTINGS;
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", settings.logLevel());
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    try {
      NodeServer server = new NodeServer(Path.of(path), settings);
      handleSignals(server);
      server.run();
      return 0;
    } catch (IOException | StorageException e) {
      System.err.println("event=start_failed cause=\"" + e + "\"");
      return 1;
    }
  }

  /** Registers the handlers of SIGTERM and SIGHUP, for which the JDK has no other interface. */
  private static void handleSignals(NodeServer server) {
    sun.misc.Signal.handle(new sun.misc.Signal("TERM"), signal -> server.leave());
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> server.reload());
  }
}
