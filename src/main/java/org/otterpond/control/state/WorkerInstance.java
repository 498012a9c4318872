package org.otterpond.control.state;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * One incarnation of a worker, as its newest heartbeat described it. Immutable.
 *
 * @param id identity of the incarnation
 * @param service name of the service that it registers for
 * @param address address that takes requests, {@code ip:port}
 * @param zone zone of the worker; null if it named none
 * @param revision revision of the worker's own software; null if it named none
 * @param slots number of requests that it serves at one time
 * @param state the state
 * @param sequence number of the heartbeat
 * @param slowStartEndMicros end of the slow start, in microseconds of the local monotonic clock; 0
 *     if the newest heartbeat named none
 * @param slowStartNodes addresses of the nodes that may send requests to the worker while it is in
 *     slow start, in the order of their choice; chosen by the primary, empty until then
 */
public record WorkerInstance(
    String id,
    String service,
    String address,
    String zone,
    String revision,
    int slots,
    WorkerState state,
    long sequence,
    long slowStartEndMicros,
    List<String> slowStartNodes) {
  /** The encoded kind of an instance in worker tables. */
  public static final String KIND = "vessel";

  private static final String ID = "id";
  private static final String SERVICE = "service";
  private static final String ADDRESS = "addr";
  private static final String ZONE = "zone";
  private static final String REVISION = "rev";
  private static final String SLOTS = "slots";
  private static final String STATE = "state";
  private static final String SEQUENCE = "seq";
  private static final String SLOW_START_MICROS = "warm";
  private static final String SLOW_START_NODES = "warmNodes";

  /** Heartbeats that tell of the same slow start differ by the time that they were on their way. */
  private static final long SLOW_START_TOLERANCE_MICROS = 500_000;

  /** The hash of an instance that has ended. */
  private static final long ENDED_HASH = 0;

  /** Creates an instance for whose slow start no nodes are chosen. */
  public WorkerInstance(
      String id,
      String service,
      String address,
      String zone,
      String revision,
      int slots,
      WorkerState state,
      long sequence,
      long slowStartEndMicros) {
    this(
        id,
        service,
        address,
        zone,
        revision,
        slots,
        state,
        sequence,
        slowStartEndMicros,
        List.of());
  }

  /**
   * Encodes the instance for worker tables.
   *
   * @param nowMicros local monotonic time; the encoded form has the remaining slow start
   */
  public WireRecord toWireRecord(long nowMicros) {
    return toWireRecord(KIND, nowMicros);
  }

  /**
   * Encodes the instance as a record of the given kind.
   *
   * @param nowMicros local monotonic time; the encoded form has the remaining slow start
   */
  public WireRecord toWireRecord(String kind, long nowMicros) {
    return new WireRecord(kind)
        .with(ID, id)
        .with(SERVICE, service)
        .with(ADDRESS, address)
        .with(ZONE, zone)
        .with(REVISION, revision)
        .with(SLOTS, slots)
        .with(STATE, state.name())
        .with(SEQUENCE, sequence)
        .with(SLOW_START_MICROS, Math.max(0, slowStartEndMicros - nowMicros))
        .with(SLOW_START_NODES, slowStartNodes.isEmpty() ? null : slowStartNodes);
  }

  /**
   * Reads an instance.
   *
   * @param nowMicros local monotonic time
   * @throws ProtocolException if a required field is missing or the state is unknown
   */
  public static WorkerInstance decode(WireRecord encoded, long nowMicros) throws ProtocolException {
    return new WorkerInstance(
        encoded.requiredText(ID),
        encoded.requiredText(SERVICE),
        encoded.requiredText(ADDRESS),
        encoded.text(ZONE),
        encoded.text(REVISION),
        (int) encoded.number(SLOTS),
        decodeState(encoded),
        encoded.number(SEQUENCE),
        slowStartEnd(encoded.number(SLOW_START_MICROS), nowMicros),
        decodeNodes(encoded));
  }

  /** Returns the end of a slow start with so much time left; 0 if none is left. */
  public static long slowStartEnd(long leftMicros, long nowMicros) {
    return leftMicros <= 0 ? 0 : nowMicros + leftMicros;
  }

  private static List<String> decodeNodes(WireRecord encoded) throws ProtocolException {
    if (!encoded.has(SLOW_START_NODES)) {
      return List.of();
    }
    List<String> nodes = new ArrayList<>();
    for (Object node : encoded.list(SLOW_START_NODES)) {
      if (!(node instanceof String address)) {
        throw new ProtocolException(
            "kind " + encoded.kind() + ": not a list of texts in the field " + SLOW_START_NODES);
      }
      nodes.add(address);
    }
    return List.copyOf(nodes);
  }

  private static WorkerState decodeState(WireRecord encoded) throws ProtocolException {
    String name = encoded.requiredText(STATE);
    try {
      return WorkerState.valueOf(name);
    } catch (IllegalArgumentException e) {
      throw new ProtocolException(
          "kind " + encoded.kind() + ": unknown value in the field " + STATE + ": " + name, e);
    }
  }

  /**
   * Reads an instance; code that can reject a message uses {@link #decode}.
   *
   * @param nowMicros local monotonic time
   * @throws IllegalArgumentException if a required field is missing or the state is unknown
   */
  public static WorkerInstance of(WireRecord encoded, long nowMicros) {
    try {
      return decode(encoded, nowMicros);
    } catch (ProtocolException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /** Returns this instance in another state. */
  public WorkerInstance in(WorkerState other) {
    return with(other, slowStartEndMicros, slowStartNodes);
  }

  /** Returns this instance with another end of its slow start, in microseconds. */
  public WorkerInstance withSlowStartEnd(long otherMicros) {
    return with(state, otherMicros, slowStartNodes);
  }

  /** Returns this instance with other nodes that may send to it in its slow start. */
  public WorkerInstance withSlowStartNodes(List<String> otherNodes) {
    return slowStartNodes.equals(otherNodes)
        ? this
        : with(state, slowStartEndMicros, List.copyOf(otherNodes));
  }

  private WorkerInstance with(WorkerState otherState, long otherEnd, List<String> otherNodes) {
    return new WorkerInstance(
        id, service, address, zone, revision, slots, otherState, sequence, otherEnd, otherNodes);
  }

  /** Returns this instance, with 0 for the end of a slow start that is over. */
  public WorkerInstance withoutEndedSlowStart(long nowMicros) {
    return inSlowStart(nowMicros) || slowStartEndMicros == 0 ? this : withSlowStartEnd(0);
  }

  /** Returns whether the worker is in slow start. */
  public boolean inSlowStart(long nowMicros) {
    return slowStartEndMicros > nowMicros;
  }

  /**
   * Returns the newer of this known description and a received one of the same instance. An
   * instance that is gone stays gone, and one that is draining takes no new requests again. The
   * nodes for its slow start stay as they are known, whichever description is newer.
   */
  public WorkerInstance merge(WorkerInstance received) {
    WorkerInstance newest = newest(received);
    List<String> nodes = slowStartNodes.isEmpty() ? received.slowStartNodes : slowStartNodes;
    return newest.withSlowStartNodes(nodes);
  }

  private WorkerInstance newest(WorkerInstance received) {
    if (state == WorkerState.GONE) {
      return this;
    }
    if (received.state == WorkerState.GONE) {
      return received;
    }
    if (!received.isNewerThan(this)) {
      return this;
    }
    if (state == WorkerState.DRAINING && received.state == WorkerState.IN_SERVICE) {
      return received.in(WorkerState.DRAINING);
    }
    return received;
  }

  private boolean isNewerThan(WorkerInstance known) {
    return sequence > known.sequence
        || (sequence == known.sequence && state.compareTo(known.state) > 0);
  }

  /**
   * Returns a hash of what routing depends on; the sum over all instances tells whether two worker
   * tables are equal. It is 0 for an instance that has ended.
   */
  public long checksum() {
    if (state.compareTo(WorkerState.LOST) >= 0) {
      return ENDED_HASH;
    }
    return Hashing.murmur3_128()
        .hashString(
            id + "\n" + state + "\n" + service + "\n" + address + "\n" + slots,
            StandardCharsets.UTF_8)
        .asLong();
  }

  /** Returns whether routing has to know this description in place of {@code old}, or of null. */
  public boolean changesRoutingOf(WorkerInstance old) {
    return old == null
        || old.state != state
        || old.slots != slots
        || !old.address.equals(address)
        || !old.service.equals(service)
        || slowStartEndMicros > old.slowStartEndMicros + SLOW_START_TOLERANCE_MICROS
        || !old.slowStartNodes.equals(slowStartNodes);
  }
}
