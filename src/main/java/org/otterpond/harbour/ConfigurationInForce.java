package org.otterpond.harbour;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.otterpond.chart.Configuration;
import org.otterpond.signal.Flag;

/**
 * The configuration in force on a node, and what is on its way into force. A long one is read
 * beside the owner thread, one at a time and in the order of the news: a node that reads on its
 * owner thread answers no ping meanwhile, and a healthy member of the core would be taken for dead.
 */
final class ConfigurationInForce {
  private final Deck deck;
  private final Consumer<Configuration> use;
  private final Deque<Told> waiting = new ArrayDeque<>();
  private ConfigurationReading reading;
  private ReadConfiguration held = ReadConfiguration.NONE;
  private long told;
  private boolean wantsWhole;

  private record Told(Flag news, ReadConfiguration known) {}

  ConfigurationInForce(Deck deck, Consumer<Configuration> use) {
    this.deck = deck;
    this.use = use;
  }

  ReadConfiguration held() {
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
  void take(Flag news, ReadConfiguration known) {
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
      ConfigurationReading r = new ConfigurationReading(t.news(), held);
      if (r.isLong()) {
        reading = r;
        deck.apart(
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

  private void taken(ConfigurationReading r) {
    if (r.result() != null) {
      begin(r.result());
      return;
    }
    // What waits may build on it.
    waiting.clear();
    told = held.revision();
    if (r.cause() != null) {
      deck.event(
          "event=configuration_unreadable revision="
              + r.news().number("cfg")
              + " cause="
              + r.cause());
      wantsWhole = !r.news().has("text");
    }
  }

  private void begin(ReadConfiguration c) {
    use.accept(c.checked());
    held = c;
    wantsWhole = false;
    deck.event("event=configuration_in_force revision=" + c.revision());
  }
}
