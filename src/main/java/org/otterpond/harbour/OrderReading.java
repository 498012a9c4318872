package org.otterpond.harbour;

import com.google.gson.JsonObject;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.ConfigurationReader;
import org.otterpond.chart.Fields;

/**
 * Reads an operator's order, on top of what is in force. It touches nothing but what it is given.
 */
final class OrderReading implements Runnable {
  private final String kind;
  private final String text;
  private final ReadConfiguration current;
  private final PackedText currentText;
  private long revision;
  private String unreadable = "body: not read to its end";
  private String invalid;
  private ReadConfiguration result;
  private PackedText packed;

  /**
   * @param current what is in force, if it has been read, else null
   * @param currentText its text, or null if there is none
   */
  OrderReading(String kind, String text, ReadConfiguration current, PackedText currentText) {
    this.kind = kind;
    this.text = text;
    this.current = current;
    this.currentText = currentText;
  }

  boolean isLong() {
    return ReadConfiguration.isLong(
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

  ReadConfiguration result() {
    return result;
  }

  PackedText packed() {
    return packed;
  }

  @Override
  public void run() {
    JsonObject given;
    try {
      given = Fields.parse(text);
      revision = Fields.of(given, "").whole("revision", 1, Long.MAX_VALUE);
      unreadable = null;
    } catch (ChartException e) {
      unreadable = e.getMessage();
      return;
    }
    invalid = "body: not read to its end";
    try {
      JsonObject whole = modifies() ? ConfigurationReader.modify(currentWhole(), given) : given;
      String full = whole.toString();
      result =
          new ReadConfiguration(revision, whole, ConfigurationReader.read(whole), full.length());
      packed = PackedText.of(full);
      invalid = null;
    } catch (ChartException e) {
      invalid = e.getMessage();
    }
  }

  private JsonObject currentWhole() throws ChartException {
    if (current != null) {
      return current.whole();
    }
    return currentText == null ? new JsonObject() : Fields.parse(currentText.unpacked());
  }
}
