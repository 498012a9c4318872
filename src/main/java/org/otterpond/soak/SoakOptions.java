package org.otterpond.soak;

import java.nio.file.Path;

/**
 * What one soak is made of.
 *
 * @param seed decides the schedule and the requests
 * @param network third part of the loopback addresses, so that soaks side by side do not meet
 * @param coreNodes nodes with a disk
 * @param gateways nodes without one
 * @param workers workers of the one service
 * @param clients threads that send requests
 * @param seconds how long disturbances and requests go on
 * @param folder where settings, data and logs are written
 */
record SoakOptions(
    long seed,
    int network,
    int coreNodes,
    int gateways,
    int workers,
    int clients,
    int seconds,
    Path folder) {
  int nodes() {
    return coreNodes + gateways;
  }

  /** The command that replays the schedule. */
  String replayLine() {
    return String.format(
        "otterpond soak --seeds %d --core %d --gateways %d --workers %d --clients %d --seconds %d",
        seed, coreNodes, gateways, workers, clients, seconds);
  }
}
