package org.otterpond.control.agent;

import java.util.List;

/**
 * The identity of one node process.
 *
 * @param address host and port at which other nodes reach this one
 * @param name the name in the settings, for people
 * @param zone the failure domain of the machine
 * @param diskId the identity of the disk that holds the core's state, or null if there is none
 * @param blankDisk whether that disk was empty when the process started
 * @param firstStart whether the settings say that the system starts for the first time
 * @param seeds addresses of the seed nodes
 * @param incarnation a random number that names this process among those of the same address
 * @param storeId the identity of the disk that stores messages, or null if there is none
 */
public record NodeIdentity(
    String address,
    String name,
    String zone,
    String diskId,
    boolean blankDisk,
    boolean firstStart,
    List<String> seeds,
    long incarnation,
    String storeId) {
  private static final long REQUEST_ID_BITS = 0xffff_ffff_0000L;

  /** Creates the identity of a node that stores no messages. */
  public NodeIdentity(
      String address,
      String name,
      String zone,
      String diskId,
      boolean blankDisk,
      boolean firstStart,
      List<String> seeds,
      long incarnation) {
    this(address, name, zone, diskId, blankDisk, firstStart, seeds, incarnation, null);
  }

  /**
   * The number below the first request identifier of this incarnation; the ranges of two
   * incarnations hardly ever meet.
   */
  long requestIdBase() {
    return incarnation & REQUEST_ID_BITS;
  }
}
