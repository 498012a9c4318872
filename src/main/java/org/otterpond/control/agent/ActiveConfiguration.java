package org.otterpond.control.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.state.ConfigurationUpdateParser;
import org.otterpond.control.state.ParsedConfiguration;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The configuration in force on a node, and what is on its way into force. A long one is read
 * beside the owner thread, one at a time and in the order of the news: a node that reads on its
 * owner thread answers no ping meanwhile, and a healthy member of the core would be taken for dead.
 */
final class ActiveConfiguration {
  private final NodeRuntime runtime;
  private final Consumer<GatewayConfiguration> use;
  private final Deque<Told> waiting = new ArrayDeque<>();
  private ConfigurationUpdateParser reading;
  private ParsedConfiguration held = ParsedConfiguration.NONE;
  private long told;
  private boolean wantsWhole;

  private record Told(WireRecord news, ParsedConfiguration known) {}

  ActiveConfiguration(NodeRuntime runtime, Consumer<GatewayConfiguration> use) {
    this.runtime = runtime;
    this.use = use;
  }

  ParsedConfiguration held() {
    return held;
  }

  /** The newest version that was told, in force or about to be: what a poll need not ask for. */
  long told() {
    return told;
  }

  /** Whether changes told could not be applied here, so that the whole is asked for. */
  boolean wantsWhole() {
    return wantsWhole;
  }

  /** Takes news; changes to another base are passed over, the next poll says what is held. */
  void take(WireRecord news, ParsedConfiguration known) {
    if (news.number("cfg") > told) {
      told = news.number("cfg");
      waiting.add(new Told(news, known));
      readNext();
    }
  }

  private void readNext() {
    while (reading == null && !waiting.isEmpty()) {
      Told t = waiting.poll();
      if (t.known() != null) {
        begin(t.known());
        continue;
      }
      ConfigurationUpdateParser r = new ConfigurationUpdateParser(t.news(), held);
      if (r.isLong()) {
        reading = r;
        runtime.apart(
            r,
            () -> {
              reading = null;
              taken(r);
              readNext();
            });
      } else {
        r.run();
        taken(r);
      }
    }
  }

  private void taken(ConfigurationUpdateParser r) {
    if (r.result() != null) {
      begin(r.result());
      return;
    }
    // What waits may build on it.
    waiting.clear();
    told = held.revision();
    if (r.cause() != null) {
      runtime.event(
          "event=configuration_unreadable revision="
              + r.news().number("cfg")
              + " cause="
              + r.cause());
      wantsWhole = !r.news().has("text");
    }
  }

  private void begin(ParsedConfiguration c) {
    use.accept(c.checked());
    held = c;
    wantsWhole = false;
    runtime.event("event=configuration_in_force revision=" + c.revision());
  }
}
