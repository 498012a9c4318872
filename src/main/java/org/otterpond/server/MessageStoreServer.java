package org.otterpond.server;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.otterpond.config.NodeSettings;
import org.otterpond.messaging.DeliveryListener;
import org.otterpond.messaging.MessageStore;
import org.otterpond.messaging.MessageStoreSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.storage.SegmentedLog;
import org.otterpond.storage.SegmentedLogWriter;
import org.otterpond.storage.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The message journal of a storage machine, opened, with the partitions that it holds. */
final class MessageStoreServer {
  private static final Logger LOG = LoggerFactory.getLogger(MessageStoreServer.class);
  private static final int TRIES = 60;

  final String diskId;
  final MessageStore store;

  MessageStoreServer(
      EventLoop eventLoop,
      ProductionRuntime runtime,
      NodeSettings settings,
      DeliveryListener delivery)
      throws StorageException {
    SegmentedLog log = new SegmentedLog(Path.of(settings.dataDir()));
    MessageStore[] opened = {null};
    String[] id = {null};
    SegmentedLogWriter logWriter =
        new SegmentedLogWriter(eventLoop, log, (long) settings.diskMb() << 20);
    log.open(
        (f, place) -> {
          if (!f.kind().equals("disk")) {
            opened[0].replay(f, place);
          } else if (opened[0] == null) {
            // Every segment begins with the disk's identity.
            id[0] = f.text("disk");
            opened[0] = store(runtime, settings, id[0], logWriter, delivery);
          }
        });
    if (opened[0] == null) {
      id[0] = Long.toHexString(Math.abs(new SecureRandom().nextLong()));
      begin(log, id[0]);
      opened[0] = store(runtime, settings, id[0], logWriter, delivery);
    }
    diskId = id[0];
    store = opened[0];
    logWriter.open(diskId, store::journalHead);
  }

  private static MessageStore store(
      ProductionRuntime runtime,
      NodeSettings settings,
      String id,
      SegmentedLogWriter logWriter,
      DeliveryListener delivery) {
    return new MessageStore(
        runtime,
        GroupConfiguration.member(id, settings.internalAddress()),
        logWriter,
        new MessageStoreSettings(
            settings.statusMicros(),
            settings.keyWindowMicros(),
            Runtime.getRuntime().maxMemory() / 6,
            ReplicaGroupTimeouts.standard()),
        delivery);
  }

  private static void begin(SegmentedLog log, String id) throws StorageException {
    for (int i = 0; ; i++) {
      try {
        log.begin(List.of(SegmentedLogWriter.identity(id)));
        return;
      } catch (StorageException e) {
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
