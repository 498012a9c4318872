package org.otterpond.harbour;

import com.google.gson.JsonObject;
import java.util.List;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.ConfigurationReader;
import org.otterpond.chart.Fields;
import org.otterpond.signal.Bale;
import org.otterpond.signal.Flag;
import org.otterpond.signal.SignalException;

/**
 * Reads the configuration that a node is told of. It touches nothing but what it is given, so it
 * may run anywhere.
 */
final class ConfigurationReading implements Runnable {
  private final Flag news;
  private final ReadConfiguration held;
  private ReadConfiguration result;
  private String cause = "not read to its end";

  ConfigurationReading(Flag news, ReadConfiguration held) {
    this.news = news;
    this.held = held;
  }

  boolean isLong() {
    return news.has("text")
        ? ReadConfiguration.isLong(0, news.bytes("text").length)
        : ReadConfiguration.isLong(held.size(), 0);
  }

  Flag news() {
    return news;
  }

  /** Null if it could not be read. */
  ReadConfiguration result() {
    return result;
  }

  /** Why not; null if the changes told build on another version. */
  String cause() {
    return cause;
  }

  @Override
  public void run() {
    try {
      JsonObject next =
          news.has("text") ? Fields.parse(Bale.unpackText(news.bytes("text"))) : changed();
      if (next == null) {
        cause = null;
        return;
      }
      result =
          new ReadConfiguration(
              news.number("cfg"), next, ConfigurationReader.read(next), next.toString().length());
    } catch (ChartException | SignalException e) {
      cause = e.getMessage();
    }
  }

  private JsonObject changed() throws ChartException, SignalException {
    JsonObject next = held.whole();
    long at = held.revision();
    // A primary of an earlier version sends one change, by itself.
    for (Flag c : news.has("change") ? List.of(news) : news.flags("changes")) {
      if (c.number("base") != at) {
        return null;
      }
      next = ConfigurationReader.modify(next, Fields.parse(Bale.unpackText(c.bytes("change"))));
      at = c.number("rev");
    }
    return next;
  }
}
