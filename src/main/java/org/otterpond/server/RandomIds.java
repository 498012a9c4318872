package org.otterpond.server;

import java.security.SecureRandom;

/** Creates random identities of processes and disks. */
final class RandomIds {
  private static final SecureRandom RANDOM = new SecureRandom();

  private RandomIds() {}

  /** Returns the identity of a process: 63 random bits as a number that is not negative. */
  static long incarnation() {
    return RANDOM.nextLong() & Long.MAX_VALUE;
  }

  /** Returns the identity of a new disk in hexadecimal digits. */
  static String diskId() {
    return Long.toHexString(incarnation());
  }
}
