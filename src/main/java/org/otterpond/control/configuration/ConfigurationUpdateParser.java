package org.otterpond.control.configuration;

import com.google.gson.JsonObject;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.control.message.ConfigurationChange;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.protocol.ProtocolException;

/**
 * Parses and validates the configuration update.
 *
 * <p>{@link #run} touches nothing but what the parser was created with, so it may run on any
 * thread; {@link #result} and {@link #cause} are read after it has returned.
 */
public final class ConfigurationUpdateParser implements Runnable {
  private final ConfigurationUpdate update;
  private final ParsedConfiguration current;
  private ParsedConfiguration result;
  private String cause = "parsing did not complete";

  /**
   * Creates a parser.
   *
   * @param update the update to parse
   * @param current the configuration that changes are applied to
   */
  public ConfigurationUpdateParser(ConfigurationUpdate update, ParsedConfiguration current) {
    this.update = update;
    this.current = current;
  }

  /** Returns whether parsing should run off the owner thread. */
  public boolean isLong() {
    return update.isComplete()
        ? ParsedConfiguration.isLong(0, update.text().length())
        : ParsedConfiguration.isLong(current.textLength(), 0);
  }

  /** Returns the new configuration, or null if there is none. */
  public ParsedConfiguration result() {
    return result;
  }

  /**
   * Returns why there is no result; null if there is one, or if the changes apply to another
   * revision than the current one.
   */
  public String cause() {
    return cause;
  }

  @Override
  public void run() {
    try {
      JsonObject next = update.isComplete() ? JsonFields.parse(update.text().text()) : changed();
      if (next != null) {
        result =
            new ParsedConfiguration(
                update.revision(), next, ConfigurationParser.read(next), next.toString().length());
      }
      cause = null;
    } catch (ConfigException | ProtocolException e) {
      cause = e.getMessage();
    }
  }

  /** Returns the changed configuration, or null if a change applies to another revision. */
  private JsonObject changed() throws ConfigException, ProtocolException {
    JsonObject next = current.json();
    long revision = current.revision();
    for (ConfigurationChange change : update.changes()) {
      if (change.baseRevision() != revision) {
        return null;
      }
      JsonObject modification = JsonFields.parse(change.modification().text());
      next = ConfigurationParser.modify(next, modification);
      revision = change.revision();
    }
    return next;
  }
}
