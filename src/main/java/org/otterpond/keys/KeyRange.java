package org.otterpond.keys;

import org.otterpond.signal.Flag;

/** Who owns the keys of a service from one key on, up to the next range's first. */
public record KeyRange(
    String service, int from, String owner, String address, long fence, RangeState state) {
  public static final String PREFIX = "keys:";
  public static final int LAST_KEY = 65_535;

  public static KeyRange of(Flag f) {
    return new KeyRange(
        f.text("service"),
        (int) f.number("from"),
        f.text("owner"),
        f.text("addr"),
        f.number("fence"),
        RangeState.valueOf(f.text("state")));
  }

  public static String key(String service, int from) {
    return PREFIX + service + ":" + from;
  }

  public Flag toFlag(String kind) {
    return new Flag(kind)
        .with("key", key(service, from))
        .with("service", service)
        .with("from", from)
        .with("owner", owner)
        .with("addr", address)
        .with("fence", fence)
        .with("state", state.name());
  }
}
