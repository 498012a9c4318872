package org.otterpond.keyrange;

import org.otterpond.protocol.WireRecord;

/** Who owns the keys of a service from one key on, up to the next range's first. */
public record KeyRange(
    String service, int from, String owner, String address, long fence, KeyRangeState state) {
  public static final String PREFIX = "keys:";
  public static final int LAST_KEY = 65_535;

  public static KeyRange of(WireRecord f) {
    return new KeyRange(
        f.text("service"),
        (int) f.number("from"),
        f.text("owner"),
        f.text("addr"),
        f.number("fence"),
        KeyRangeState.valueOf(f.text("state")));
  }

  public static String key(String service, int from) {
    return PREFIX + service + ":" + from;
  }

  public WireRecord toWireRecord(String kind) {
    return new WireRecord(kind)
        .with("key", key(service, from))
        .with("service", service)
        .with("from", from)
        .with("owner", owner)
        .with("addr", address)
        .with("fence", fence)
        .with("state", state.name());
  }
}
