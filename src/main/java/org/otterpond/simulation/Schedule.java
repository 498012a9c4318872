package org.otterpond.simulation;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonSyntaxException;
import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.List;

/**
 * Everything that decides a simulated run: the same schedule gives the same run, event by event.
 * The serialized names are the form of a printed schedule line, which later versions must still
 * read.
 *
 * @param seed the seed of the run
 * @param coreSize the number of nodes with a disk
 * @param maxFailures how many machines may be impaired at once
 * @param edgeSize the number of nodes without a disk
 * @param maxEdgeFailures how many nodes without a disk may be impaired beside them; 0 counts all
 *     machines together
 * @param zones over how many zones the machines are spread
 * @param edgeBytesPerSecond the bandwidth of nodes without a disk; 0 sets no limit
 * @param writeStorm whether writes follow each other in quick succession and are sent again however
 *     many others were confirmed since
 * @param seconds how long clients and faults are active, in simulated time
 * @param faults the faults in the order of their beginnings
 */
record Schedule(
    long seed,
    @SerializedName("core") int coreSize,
    @SerializedName("faults") int maxFailures,
    @SerializedName("edge") int edgeSize,
    @SerializedName("edgeFaults") int maxEdgeFailures,
    int zones,
    @SerializedName("width") long edgeBytesPerSecond,
    @SerializedName("storm") boolean writeStorm,
    int seconds,
    @SerializedName("entries") List<Fault> faults) {

  private static final Gson JSON = new GsonBuilder().disableHtmlEscaping().create();

  /**
   * Reads a schedule line.
   *
   * @throws JsonSyntaxException if it is no schedule
   */
  static Schedule parse(String line) {
    Schedule schedule = JSON.fromJson(line, Schedule.class);
    if (schedule == null || schedule.faults() == null) {
      throw new JsonSyntaxException("not a schedule line as it was printed");
    }
    return schedule;
  }

  /** The same schedule without one fault. */
  Schedule without(int faultIndex) {
    List<Fault> fewer = new ArrayList<>(faults);
    fewer.remove(faultIndex);
    return with(fewer, seconds);
  }

  /** The same schedule with other faults and another duration. */
  Schedule with(List<Fault> otherFaults, int otherSeconds) {
    return new Schedule(
        seed,
        coreSize,
        maxFailures,
        edgeSize,
        maxEdgeFailures,
        zones,
        edgeBytesPerSecond,
        writeStorm,
        otherSeconds,
        List.copyOf(otherFaults));
  }

  /** The schedule as one line, from which {@link #parse} reads it again. */
  String line() {
    return JSON.toJson(this);
  }
}
