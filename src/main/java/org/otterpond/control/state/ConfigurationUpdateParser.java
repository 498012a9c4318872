package org.otterpond.control.state;

import com.google.gson.JsonObject;
import java.util.List;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Reads the configuration that a node is told of. It touches nothing but what it is given, so it
 * may run anywhere.
 */
public final class ConfigurationUpdateParser implements Runnable {
  private final WireRecord news;
  private final ParsedConfiguration held;
  private ParsedConfiguration result;
  private String cause = "not read to its end";

  public ConfigurationUpdateParser(WireRecord news, ParsedConfiguration held) {
    this.news = news;
    this.held = held;
  }

  public boolean isLong() {
    return news.has("text")
        ? ParsedConfiguration.isLong(0, news.bytes("text").length)
        : ParsedConfiguration.isLong(held.size(), 0);
  }

  public WireRecord news() {
    return news;
  }

  /** Null if it could not be read. */
  public ParsedConfiguration result() {
    return result;
  }

  /** Why not; null if the changes told build on another version. */
  public String cause() {
    return cause;
  }

  @Override
  public void run() {
    try {
      JsonObject next =
          news.has("text")
              ? JsonFields.parse(CompressedPayload.unpackText(news.bytes("text")))
              : changed();
      if (next == null) {
        cause = null;
        return;
      }
      result =
          new ParsedConfiguration(
              news.number("cfg"), next, ConfigurationParser.read(next), next.toString().length());
    } catch (ConfigException | ProtocolException e) {
      cause = e.getMessage();
    }
  }

  private JsonObject changed() throws ConfigException, ProtocolException {
    JsonObject next = held.whole();
    long at = held.revision();
    // A primary of an earlier version sends one change, by itself.
    for (WireRecord c : news.has("change") ? List.of(news) : news.records("changes")) {
      if (c.number("base") != at) {
        return null;
      }
      next =
          ConfigurationParser.modify(
              next, JsonFields.parse(CompressedPayload.unpackText(c.bytes("change"))));
      at = c.number("rev");
    }
    return next;
  }
}
