package org.otterpond.control.state;

import com.google.gson.JsonObject;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Parses and validates the configuration update of a poll response.
 *
 * <p>{@link #run} touches nothing but what the parser was created with, so it may run on any
 * thread; {@link #result} and {@link #cause} are read after it has returned.
 */
public final class ConfigurationUpdateParser implements Runnable {
  private final WireRecord response;
  private final ParsedConfiguration current;
  private final ConfigurationUpdate update;
  private ParsedConfiguration result;
  private String cause;

  /**
   * Creates a parser.
   *
   * @param response the poll response
   * @param current the configuration that changes are applied to
   */
  public ConfigurationUpdateParser(WireRecord response, ParsedConfiguration current) {
    this.response = response;
    this.current = current;
    ConfigurationUpdate decoded = null;
    try {
      decoded = ConfigurationUpdate.of(response);
      cause = "parsing did not complete";
    } catch (ProtocolException e) {
      cause = e.getMessage();
    }
    update = decoded;
  }

  /** Returns whether parsing should run off the owner thread. */
  public boolean isLong() {
    if (update instanceof ConfigurationUpdate.Complete complete) {
      return ParsedConfiguration.isLong(0, complete.text().compressedBytes());
    }
    return ParsedConfiguration.isLong(current.size(), 0);
  }

  /** Returns the poll response that this parser was created with. */
  public WireRecord news() {
    return response;
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
    if (update == null) {
      return;
    }
    try {
      JsonObject next = parseUpdate();
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

  private JsonObject parseUpdate() throws ConfigException, ProtocolException {
    if (update instanceof ConfigurationUpdate.Complete complete) {
      return JsonFields.parse(complete.text().decompressed());
    }
    return applyChanges((ConfigurationUpdate.Changes) update);
  }

  /** Returns the changed configuration, or null if a change applies to another revision. */
  private JsonObject applyChanges(ConfigurationUpdate.Changes changes)
      throws ConfigException, ProtocolException {
    JsonObject next = current.whole();
    long revision = current.revision();
    for (ConfigurationUpdate.Change change : changes.changes()) {
      if (change.base() != revision) {
        return null;
      }
      JsonObject body = JsonFields.parse(change.body().decompressed());
      next = ConfigurationParser.modify(next, body);
      revision = change.revision();
    }
    return next;
  }
}
