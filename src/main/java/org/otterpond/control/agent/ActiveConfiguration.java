package org.otterpond.control.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.configuration.ConfigurationParsing;
import org.otterpond.control.configuration.ConfigurationUpdateParser;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.runtime.NodeRuntime;

/**
 * The configuration in use on a node, and the updates that are being parsed.
 *
 * <p>Updates are parsed one at a time, in the order of their arrival, and long ones off the owner
 * thread: otherwise a core member would answer no ping meanwhile and be taken for failed. All
 * methods are called on the owner thread.
 */
final class ActiveConfiguration {
  private final NodeRuntime runtime;
  private final Consumer<GatewayConfiguration> onApplied;
  private final Deque<PendingUpdate> pending = new ArrayDeque<>();
  private boolean parsing;
  private ParsedConfiguration current = ParsedConfiguration.NONE;
  private long newestReceived;
  private boolean needsFullText;

  /**
   * An update that has not been applied.
   *
   * @param parsed its parsed form if this node has it already, else null
   */
  private record PendingUpdate(ConfigurationUpdate update, ParsedConfiguration parsed) {}

  /**
   * Creates the holder, with no configuration in use.
   *
   * @param onApplied called with each configuration that comes into use
   */
  ActiveConfiguration(NodeRuntime runtime, Consumer<GatewayConfiguration> onApplied) {
    this.runtime = runtime;
    this.onApplied = onApplied;
  }

  /** The configuration in use; {@link ParsedConfiguration#NONE} before the first. */
  ParsedConfiguration current() {
    return current;
  }

  /** The newest revision that was received, in use or being parsed. */
  long newestReceived() {
    return newestReceived;
  }

  /** Whether changes could not be applied here, so that a poll asks for the full text. */
  boolean needsFullText() {
    return needsFullText;
  }

  /**
   * Takes an update unless a newer one has been received.
   *
   * @param parsed its parsed form if this node has it already, else null
   */
  void receive(ConfigurationUpdate update, ParsedConfiguration parsed) {
    if (update.revision() > newestReceived) {
      newestReceived = update.revision();
      pending.add(new PendingUpdate(update, parsed));
      applyPending();
    }
  }

  private void applyPending() {
    while (!parsing && !pending.isEmpty()) {
      PendingUpdate next = pending.poll();
      if (next.parsed() != null) {
        apply(next.parsed());
      } else {
        parse(next.update());
      }
    }
  }

  private void parse(ConfigurationUpdate update) {
    ConfigurationUpdateParser parser = new ConfigurationUpdateParser(update, current);
    parsing = true;
    ConfigurationParsing.run(
        runtime,
        parser.isLong(),
        parser,
        () -> {
          parsing = false;
          onParsed(update, parser);
          applyPending();
        });
  }

  private void onParsed(ConfigurationUpdate update, ConfigurationUpdateParser parser) {
    if (parser.result() != null) {
      apply(parser.result());
      return;
    }
    // Pending updates may build on the one that failed: the next poll asks for all of them again.
    pending.clear();
    newestReceived = current.revision();
    if (parser.cause() != null) {
      runtime.event(
          "event=configuration_unreadable revision="
              + update.revision()
              + " cause="
              + parser.cause());
      needsFullText = !update.isComplete();
    }
  }

  private void apply(ParsedConfiguration configuration) {
    onApplied.accept(configuration.configuration());
    current = configuration;
    needsFullText = false;
    runtime.event("event=configuration_applied revision=" + configuration.revision());
  }
}
