package org.otterpond.logbook;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.signal.Flag;

/** A journal's records, the first among them, as one list. */
final class JournalReading {
  private JournalReading() {}

  static List<Flag> all(Path folder) throws LogbookException {
    return all(new Logbook(folder));
  }

  static List<Flag> all(Logbook l) throws LogbookException {
    List<Flag> out = new ArrayList<>();
    Flag base = l.open();
    if (base != null) {
      out.add(base);
      l.replay(out::add);
    }
    return out;
  }
}
