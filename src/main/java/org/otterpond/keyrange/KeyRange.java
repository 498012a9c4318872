package org.otterpond.keyrange;

import org.otterpond.protocol.WireRecord;

/**
 * The owner of the keys of a service from one key up to the key before the next range.
 *
 * @param service name of the service
 * @param from first key of the range
 * @param owner instance of the worker that owns it
 * @param address network address of the owner
 * @param fence fencing token of the owner's lease
 * @param state state of the lease
 */
public record KeyRange(
    String service, int from, String owner, String address, long fence, KeyRangeState state)
    implements KeyRangeEntry {
  /** Prefix of the names under which ranges are stored in the replicated table. */
  public static final String PREFIX = "keys:";

  /** The largest key; the smallest is 0. */
  public static final int LAST_KEY = 65_535;

  /** How many keys there are. */
  static final int KEY_COUNT = LAST_KEY + 1;

  private static final String OWNER = "owner";
  private static final String ADDRESS = "addr";
  private static final String FENCE = "fence";
  private static final String STATE = "state";

  /** Reads a range of the replicated table. */
  public static KeyRange of(WireRecord encoded) {
    return new KeyRange(
        encoded.text(SERVICE),
        (int) encoded.number(FROM),
        encoded.text(OWNER),
        encoded.text(ADDRESS),
        encoded.number(FENCE),
        KeyRangeState.valueOf(encoded.text(STATE)));
  }

  /** Returns the name under which the range of a service from a key on is stored. */
  public static String key(String service, int from) {
    return PREFIX + service + ":" + from;
  }

  @Override
  public WireRecord toWireRecord() {
    return toWireRecord(KIND);
  }

  /** Returns the encoded form under the given kind. */
  public WireRecord toWireRecord(String kind) {
    return new WireRecord(kind)
        .with(KEY, key(service, from))
        .with(SERVICE, service)
        .with(FROM, from)
        .with(OWNER, owner)
        .with(ADDRESS, address)
        .with(FENCE, fence)
        .with(STATE, state.name());
  }
}
