package org.otterpond.server;

import java.util.concurrent.TimeUnit;
import org.otterpond.storage.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the identity of a blank disk, and retries while the disk is not ready. */
final class DiskPreparation {
  private static final Logger LOG = LoggerFactory.getLogger(DiskPreparation.class);
  private static final int MAX_RETRIES = 60;
  private static final long RETRY_MILLIS = 500;

  private DiskPreparation() {}

  /** Writes the first record of a disk. */
  @FunctionalInterface
  interface FirstWrite {
    void run() throws StorageException;
  }

  /**
   * Performs the first write; blocks the calling thread, which must not serve requests yet.
   *
   * @throws StorageException the last failure, if all attempts fail or the thread is interrupted
   */
  static void run(FirstWrite write) throws StorageException {
    for (int retries = 0; ; retries++) {
      try {
        write.run();
        return;
      } catch (StorageException e) {
        LOG.warn("event=disk_not_ready cause=\"{}\"", String.valueOf(e.getCause()));
        if (retries >= MAX_RETRIES) {
          throw e;
        }
        pause(e);
      }
    }
  }

  private static void pause(StorageException failure) throws StorageException {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failure;
    }
  }
}
