package org.otterpond.server;

import java.nio.file.Path;
import java.util.List;
import org.otterpond.config.NodeSettings;
import org.otterpond.messaging.DeliveryListener;
import org.otterpond.messaging.MessageStore;
import org.otterpond.messaging.MessageStoreSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.storage.DiskIdentity;
import org.otterpond.storage.SegmentedLog;
import org.otterpond.storage.SegmentedLogWriter;
import org.otterpond.storage.StorageException;

/** Opens the disk of a storage node and restores its message store from the log. */
final class MessageStoreServer {
  /** The store's memory is this part of the heap. */
  private static final int HEAP_DIVISOR = 6;

  private final ProductionRuntime runtime;
  private final NodeSettings settings;
  private final DeliveryListener deliveryListener;
  private final SegmentedLogWriter logWriter;
  private String diskId;
  private MessageStore store;

  /**
   * Opens the disk; a blank disk gets a new identity.
   *
   * @throws StorageException if the log cannot be read or a blank disk cannot be prepared
   */
  MessageStoreServer(
      EventLoop eventLoop,
      ProductionRuntime runtime,
      NodeSettings settings,
      DeliveryListener deliveryListener)
      throws StorageException {
    this.runtime = runtime;
    this.settings = settings;
    this.deliveryListener = deliveryListener;
    SegmentedLog log = new SegmentedLog(Path.of(settings.dataDir()));
    logWriter = new SegmentedLogWriter(eventLoop, log, (long) settings.diskMb() << 20);
    log.open(this::replay);
    if (store == null) {
      String newDiskId = RandomIds.diskId();
      DiskPreparation.run(() -> log.begin(List.of(SegmentedLogWriter.identity(newDiskId))));
      createStore(newDiskId);
    }
    logWriter.open(diskId, store::segmentHead);
  }

  /** Returns the identity of the disk. */
  String diskId() {
    return diskId;
  }

  /** Returns the store, which has not been started. */
  MessageStore store() {
    return store;
  }

  /** Takes one record of the log. Every segment begins with the identity of the disk. */
  private void replay(WireRecord logRecord, long position) {
    if (!logRecord.kind().equals(DiskIdentity.KIND)) {
      store.replay(logRecord, position);
    } else if (store == null) {
      createStore(identity(logRecord));
    }
  }

  private static String identity(WireRecord logRecord) {
    try {
      return DiskIdentity.of(logRecord).diskId();
    } catch (ProtocolException e) {
      throw new IllegalStateException("the segment has no readable disk identity", e);
    }
  }

  private void createStore(String id) {
    diskId = id;
    store =
        new MessageStore(
            runtime,
            GroupConfiguration.member(id, settings.internalAddress()),
            logWriter,
            new MessageStoreSettings(
                settings.statusMicros(),
                settings.keyWindowMicros(),
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
                ReplicaGroupTimeouts.standard()),
            deliveryListener);
  }
}
