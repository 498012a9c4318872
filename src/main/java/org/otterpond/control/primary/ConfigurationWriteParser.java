package org.otterpond.control.primary;

import com.google.gson.JsonObject;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.ParsedConfiguration;

/**
 * Reads an operator's order, on top of what is in force. It touches nothing but what it is given.
 */
final class ConfigurationWriteParser implements Runnable {
  private final String kind;
  private final String text;
  private final ParsedConfiguration current;
  private final CompressedText currentText;
  private long revision;
  private String unreadable = "body: not read to its end";
  private String invalid;
  private ParsedConfiguration result;
  private CompressedText packed;

  /**
   * @param current what is in force, if it has been read, else null
   * @param currentText its text, or null if there is none
   */
  ConfigurationWriteParser(
      String kind, String text, ParsedConfiguration current, CompressedText currentText) {
    this.kind = kind;
    this.text = text;
    this.current = current;
    this.currentText = currentText;
  }

  boolean isLong() {
    return ParsedConfiguration.isLong(
        text.length(), modifies() && currentText != null ? currentText.packed().length : 0);
  }

  private boolean modifies() {
    return kind.equals("modify");
  }

  /** Why the body as such cannot be read; null if it can. */
  String unreadable() {
    return unreadable;
  }

  long revision() {
    return revision;
  }

  /** Why what it would make is no valid configuration; null if it is one. */
  String invalid() {
    return invalid;
  }

  ParsedConfiguration result() {
    return result;
  }

  CompressedText packed() {
    return packed;
  }

  @Override
  public void run() {
    JsonObject given;
    try {
      given = JsonFields.parse(text);
      revision = JsonFields.of(given, "").whole("revision", 1, Long.MAX_VALUE);
      unreadable = null;
    } catch (ConfigException e) {
      unreadable = e.getMessage();
      return;
    }
    invalid = "body: not read to its end";
    try {
      JsonObject whole = modifies() ? ConfigurationParser.modify(currentWhole(), given) : given;
      String full = whole.toString();
      result =
          new ParsedConfiguration(revision, whole, ConfigurationParser.read(whole), full.length());
      packed = CompressedText.of(full);
      invalid = null;
    } catch (ConfigException e) {
      invalid = e.getMessage();
    }
  }

  private JsonObject currentWhole() throws ConfigException {
    if (current != null) {
      return current.whole();
    }
    return currentText == null ? new JsonObject() : JsonFields.parse(currentText.unpacked());
  }
}
