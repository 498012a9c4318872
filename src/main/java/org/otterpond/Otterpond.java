package org.otterpond;

import java.io.IOException;
import java.nio.file.Path;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.Settings;
import org.otterpond.client.Client;
import org.otterpond.drill.Rehearsal;
import org.otterpond.keel.Keel;
import org.otterpond.logbook.LogbookException;
import sun.misc.Signal;

/** The program: a node, or the operators' client. */
public final class Otterpond {
  private static final int BAD_SETTINGS = 2;

  private Otterpond() {}

  public static void main(String[] args) {
    if (args.length == 1 && args[0].equals("node")) {
      System.exit(node());
    }
    if (args.length == 1 && args[0].equals("rehearse")) {
      System.exit(Rehearsal.run());
    }
    System.exit(Client.execute(args));
  }

  private static int node() {
    String path = System.getenv("OTTERPOND_CONFIG");
    if (path == null || path.isEmpty()) {
      System.err.println("event=settings_invalid cause=\"OTTERPOND_CONFIG: not set\"");
      return BAD_SETTINGS;
    }
    Settings settings;
    try {
      settings = Settings.load(Path.of(path));
    } catch (ChartException e) {
      System.err.println("event=settings_invalid cause=\"" + e.getMessage() + "\"");
      return BAD_SETTINGS;
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", settings.logLevel());
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    try {
      Keel keel = new Keel(Path.of(path), settings);
      Signal.handle(new Signal("TERM"), s -> keel.leave());
      Signal.handle(new Signal("HUP"), s -> keel.reload());
      keel.run();
      return 0;
    } catch (IOException | LogbookException e) {
      System.err.println("event=start_failed cause=\"" + e + "\"");
      return 1;
    }
  }
}
