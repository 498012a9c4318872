package org.otterpond.control.agent;

import java.util.List;

/**
 * Who this process is. The disk identity is null where no disk holds the core's state, the store
 * identity where none holds messages.
 */
public record NodeIdentity(
    String address,
    String name,
    String zone,
    String diskId,
    boolean blankDisk,
    boolean firstLife,
    List<String> seeds,
    long life,
    String storeId) {
  /** A node that stores no messages. */
  public NodeIdentity(
      String address,
      String name,
      String zone,
      String diskId,
      boolean blankDisk,
      boolean firstLife,
      List<String> seeds,
      long life) {
    this(address, name, zone, diskId, blankDisk, firstLife, seeds, life, null);
  }
}
