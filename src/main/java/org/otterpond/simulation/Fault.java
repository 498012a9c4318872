package org.otterpond.simulation;

import java.util.Locale;

/**
 * One entry of a schedule.
 *
 * @param atMillis from the beginning of the operations
 * @param forMillis until it ends, and the machine is well again or started
 * @param machine an address, or one of the words below, which are resolved at the fault's moment
 * @param chance what else is open in it is drawn from this number
 */
record Fault(Kind kind, long atMillis, long forMillis, String machine, long chance) {
  static final String PRIMARY = "primary";
  static final String BACKUP = "backup";
  static final String ALL = "all";

  enum Kind {
    /** Cut off, from all or some others; what is sent is lost. */
    CUT,
    /** Cut off; what is sent is held as by TCP. */
    HOLD,
    /** Cut off in one direction. */
    ONE_WAY,
    FREEZE,
    /** The process is killed, the machine runs on. */
    KILL,
    /** The machine loses power; with {@link #ALL} every machine does. */
    POWER,
    /** The machine loses power and its disk, and comes back with an empty one. */
    WIPE,
    /** The disk answers nothing, or refuses. */
    DISK;

    static Kind of(String name) {
      return valueOf(name.strip().toUpperCase(Locale.ROOT).replace('-', '_'));
    }
  }
}
