package org.otterpond.soak;

import com.google.gson.JsonParser;
import java.util.List;
import org.otterpond.client.ControlApiClient;
import org.otterpond.client.ControlApiException;

/** Changes and reads the configuration. Used by one thread at a time. */
final class SoakOperator {
  private static final int ATTEMPTS = 40;
  private static final long PAUSE_MILLIS = 250;

  private final ControlApiClient client;
  private final SoakRecords records;

  /** The newest revision that was acknowledged. */
  private long acknowledged;

  SoakOperator(List<String> controlPoints, SoakRecords records) {
    this.client = new ControlApiClient(controlPoints);
    this.records = records;
  }

  /** Writes the first configuration, again and again until it is taken. */
  void begin() throws InterruptedException {
    for (int attempt = 0; attempt < ATTEMPTS && acknowledged == 0; attempt++) {
      change();
      Thread.sleep(PAUSE_MILLIS);
    }
    if (acknowledged == 0) {
      records.findings.add("no node took the first configuration");
    }
  }

  /** Writes the next revision; without a clear answer it stays the next one. */
  void change() {
    long next = acknowledged + 1;
    try {
      client.post("/-/Configuration.Replace", SoakConfiguration.text(next), acknowledged);
      acknowledged = next;
    } catch (ControlApiException e) {
      if (e.getMessage().contains("412")) {
        records.findings.add("revision " + next + " was rejected: " + e.getMessage());
      }
    }
  }

  /** Reads the configuration, which must not be older than what was acknowledged. */
  void checkNewest() throws InterruptedException {
    String lastFailure = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      try {
        String text = client.get("/-/Configuration.Read");
        long revision = JsonParser.parseString(text).getAsJsonObject().get("revision").getAsLong();
        if (revision < acknowledged) {
          records.findings.add("read revision " + revision + " after " + acknowledged);
        }
        return;
      } catch (ControlApiException e) {
        lastFailure = e.getMessage();
        Thread.sleep(PAUSE_MILLIS);
      }
    }
    records.findings.add("the configuration could not be read at the end: " + lastFailure);
  }
}
