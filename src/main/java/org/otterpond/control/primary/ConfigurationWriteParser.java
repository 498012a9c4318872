package org.otterpond.control.primary;

import com.google.gson.JsonObject;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.control.state.CompressedText;

/**
 * Parses a change of the configuration and applies it to the current one.
 *
 * <p>{@link #run} touches nothing but what the parser was created with, so it may run on any
 * thread; the results are read after it has returned.
 */
final class ConfigurationWriteParser implements Runnable {
  private static final String INCOMPLETE = "body: parsing did not complete";

  private final boolean modifies;
  private final String text;
  private final ParsedConfiguration current;
  private final CompressedText currentText;
  private long revision;
  private String bodyError = INCOMPLETE;
  private String configurationError = INCOMPLETE;
  private ParsedConfiguration result;
  private CompressedText resultText;

  /**
   * Creates a parser.
   *
   * @param kind kind of the change, as in {@link WriteConfigurationRequest}
   * @param text text of the change
   * @param current the current configuration if it is parsed already, else null
   * @param currentText its text, or null if there is no configuration
   */
  ConfigurationWriteParser(
      String kind, String text, ParsedConfiguration current, CompressedText currentText) {
    this.modifies = kind.equals(WriteConfigurationRequest.MODIFY);
    this.text = text;
    this.current = current;
    this.currentText = currentText;
  }

  /** Whether parsing should run off the owner thread. */
  boolean isLong() {
    int currentLength = modifies && currentText != null ? currentText.compressed().length : 0;
    return ParsedConfiguration.isLong(text.length(), currentLength);
  }

  /** Whether the change modifies the current configuration instead of replacing it. */
  boolean modifies() {
    return modifies;
  }

  /** Returns the text of the change. */
  String text() {
    return text;
  }

  /** Returns why the text of the change cannot be read; null if it can. */
  String bodyError() {
    return bodyError;
  }

  /** Returns the revision that the change makes; 0 if its text cannot be read. */
  long revision() {
    return revision;
  }

  /** Returns why the changed configuration is not valid; null if it is. */
  String configurationError() {
    return configurationError;
  }

  /** Returns the changed configuration; null if there is an error. */
  ParsedConfiguration result() {
    return result;
  }

  /** Returns the text of the changed configuration; null if there is an error. */
  CompressedText resultText() {
    return resultText;
  }

  @Override
  public void run() {
    JsonObject change;
    try {
      change = JsonFields.parse(text);
      revision = JsonFields.of(change, "").whole("revision", 1, Long.MAX_VALUE);
      bodyError = null;
    } catch (ConfigException e) {
      bodyError = e.getMessage();
      return;
    }
    try {
      apply(change);
      configurationError = null;
    } catch (ConfigException e) {
      configurationError = e.getMessage();
    }
  }

  private void apply(JsonObject change) throws ConfigException {
    JsonObject changed =
        modifies ? ConfigurationParser.modify(currentConfiguration(), change) : change;
    String changedText = changed.toString();
    result =
        new ParsedConfiguration(
            revision, changed, ConfigurationParser.read(changed), changedText.length());
    resultText = CompressedText.of(changedText);
  }

  private JsonObject currentConfiguration() throws ConfigException {
    if (current != null) {
      return current.json();
    }
    return currentText == null ? new JsonObject() : JsonFields.parse(currentText.unpacked());
  }
}
