package org.otterpond.simulation;

import com.google.gson.annotations.SerializedName;
import java.util.Locale;

/**
 * One fault of a schedule. The serialized names are the form of a printed schedule line.
 *
 * @param atMillis when it begins, counted from the start of the clients
 * @param durationMillis how long it lasts until it is cleared or the process is started again
 * @param target the address of a node, or one of the words below, which are resolved when the fault
 *     begins
 * @param seed the seed of the fault's own random choices
 */
record Fault(
    Kind kind,
    long atMillis,
    @SerializedName("forMillis") long durationMillis,
    @SerializedName("machine") String target,
    @SerializedName("chance") long seed) {
  /** The target that means whichever node is the primary. */
  static final String PRIMARY = "primary";

  /** The target that means some backup of the primary. */
  static final String BACKUP = "backup";

  /** The target that means every node. */
  static final String ALL = "all";

  /** What a fault does to its target. */
  enum Kind {
    /** Partitions the node from all or some others: messages are lost. */
    CUT,
    /** Interrupts the node's connections: messages are buffered, as by TCP. */
    HOLD,
    /** Partitions the node, or interrupts its connections, in one direction only. */
    ONE_WAY,
    /** Stops the process without ending it. */
    FREEZE,
    /** Kills the process while its machine runs on. */
    KILL,
    /** Cuts the power of the machine; with {@link #ALL} of every machine. */
    POWER,
    /** Cuts the power of the machine and replaces its disk by an empty one. */
    WIPE,
    /** Stalls the disk, or makes its writes fail. */
    DISK;

    /**
     * The kind of a name on the command line.
     *
     * @throws IllegalArgumentException if there is no such kind
     */
    static Kind of(String name) {
      return valueOf(name.strip().toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /** Whether faults of this kind impair the network and not the node itself. */
    boolean isNetworkFault() {
      return this == CUT || this == HOLD || this == ONE_WAY;
    }
  }
}
