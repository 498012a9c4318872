package org.otterpond.keel;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.otterpond.chart.Settings;
import org.otterpond.logbook.LogbookException;
import org.otterpond.logbook.SegmentLog;
import org.otterpond.message.Courier;
import org.otterpond.message.Depot;
import org.otterpond.message.StoreTerms;
import org.otterpond.quay.Quay;
import org.otterpond.replica.GroupTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The message journal of a storage machine, opened, with the partitions that it holds. */
final class StoreHouse {
  private static final Logger LOG = LoggerFactory.getLogger(StoreHouse.class);
  private static final int TRIES = 60;

  final String diskId;
  final Depot depot;

  StoreHouse(Quay quay, ShipsDeck deck, Settings settings, Courier courier)
      throws LogbookException {
    SegmentLog log = new SegmentLog(Path.of(settings.dataDir()));
    Depot[] store = {null};
    String[] id = {null};
    SegmentPurser purser = new SegmentPurser(quay, log, (long) settings.diskMb() << 20);
    log.open(
        (f, place) -> {
          if (!f.kind().equals("disk")) {
            store[0].replay(f, place);
          } else if (store[0] == null) {
            // Every segment begins with the disk's identity.
            id[0] = f.text("disk");
            store[0] = depot(deck, settings, id[0], purser, courier);
          }
        });
    if (store[0] == null) {
      id[0] = Long.toHexString(Math.abs(new SecureRandom().nextLong()));
      begin(log, id[0]);
      store[0] = depot(deck, settings, id[0], purser, courier);
    }
    diskId = id[0];
    depot = store[0];
    purser.open(diskId, depot::journalHead);
  }

  private static Depot depot(
      ShipsDeck deck, Settings settings, String id, SegmentPurser purser, Courier courier) {
    return new Depot(
        deck,
        id,
        settings.internalAddress(),
        purser,
        new StoreTerms(
            settings.statusMicros(),
            settings.keyWindowMicros(),
            Runtime.getRuntime().maxMemory() / 6,
            GroupTimes.standard()),
        courier);
  }

  private static void begin(SegmentLog log, String id) throws LogbookException {
    for (int i = 0; ; i++) {
      try {
        log.begin(List.of(SegmentPurser.identity(id)));
        return;
      } catch (LogbookException e) {
        LOG.warn("event=disk_not_ready cause=\"{}\"", String.valueOf(e.getCause()));
        if (i >= TRIES) {
          throw e;
        }
        try {
          Thread.sleep(500);
        } catch (InterruptedException ie) {
          Thread.currentThread().interrupt();
          throw e;
        }
      }
    }
  }
}
