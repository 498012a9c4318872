package org.otterpond.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.otterpond.config.ConfigException;
import org.otterpond.config.NodeSettings;
import org.otterpond.server.NodeServer;
import org.otterpond.storage.StorageException;
import org.otterpond.tools.SelfTest;

/** The main class: starts a node, or runs a command of the command line. */
public final class Otterpond {
  private static final int START_FAILED = 1;
  private static final int INVALID_SETTINGS = 2;
  private static final String SETTINGS_VARIABLE = "OTTERPOND_CONFIG";

  private Otterpond() {}

  /**
   * Runs the program and ends the process with its exit code.
   *
   * @param args {@code node}, {@code self-test}, or a command with its options
   */
  public static void main(String[] args) {
    if (args.length == 1 && args[0].equals("node")) {
      System.exit(runNode());
    }
    if (args.length == 1 && args[0].equals("self-test")) {
      System.exit(SelfTest.run());
    }
    System.exit(OtterpondCommand.execute(args));
  }

  private static int runNode() {
    String path = System.getenv(SETTINGS_VARIABLE);
    if (path == null || path.isEmpty()) {
      return invalidSettings(SETTINGS_VARIABLE + ": not set");
    }
    NodeSettings settings;
    try {
      settings = NodeSettings.load(Path.of(path));
    } catch (ConfigException e) {
      return invalidSettings(e.getMessage());
    }
    configureLogging(settings);
    try {
      NodeServer server = new NodeServer(Path.of(path), settings);
      handleSignals(server);
      server.run();
      return 0;
    } catch (IOException | StorageException e) {
      System.err.println("event=start_failed cause=\"" + e + "\"");
      return START_FAILED;
    }
  }

  private static int invalidSettings(String cause) {
    System.err.println("event=settings_invalid cause=\"" + cause + "\"");
    return INVALID_SETTINGS;
  }

  /** Configures the logger, which reads these properties when it is first used. */
  private static void configureLogging(NodeSettings settings) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", settings.logLevel());
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  /** Registers the handlers of SIGTERM and SIGHUP, for which the JDK has no other interface. */
  private static void handleSignals(NodeServer server) {
    sun.misc.Signal.handle(new sun.misc.Signal("TERM"), signal -> server.leave());
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> server.reload());
  }
}
