package org.otterpond.control.configuration;

import org.otterpond.runtime.NodeRuntime;

/**
 * Decides where a configuration is parsed. A node that parses a long one on its owner thread
 * answers no heartbeat meanwhile, and would be taken for dead by its peers.
 */
public final class ConfigurationParsing {
  private ConfigurationParsing() {}

  /**
   * Parses a configuration: a long one off the owner thread, a short one at once. A parser that
   * throws has no result; what waits for it goes on all the same.
   *
   * @param runtime the node's runtime
   * @param isLong whether parsing takes long, see {@link ParsedConfiguration#isLong}
   * @param parser the work, which touches no state of the owner thread
   * @param then runs on the owner thread afterwards; for a short one before this method returns
   */
  public static void run(NodeRuntime runtime, boolean isLong, Runnable parser, Runnable then) {
    if (isLong) {
      runtime.runOffThread(parser, then);
    } else {
      runLoggingFailure(runtime, parser);
      then.run();
    }
  }

  private static void runLoggingFailure(NodeRuntime runtime, Runnable parser) {
    try {
      parser.run();
    } catch (RuntimeException e) {
      runtime.event("event=work_failed cause=\"" + e + "\"");
    }
  }
}
