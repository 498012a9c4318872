package org.otterpond.harbour;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.otterpond.signal.Flag;

/**
 * One life of a worker, as its newest beat told it. Times in microseconds of the reading node's
 * monotonic clock.
 */
public record Vessel(
    String id,
    String service,
    String address,
    String zone,
    String revision,
    int slots,
    VesselState state,
    long sequence,
    long warmUntil) {

  public Flag toFlag(long now) {
    return toFlag("vessel", now);
  }

  Flag toFlag(String kind, long now) {
    return new Flag(kind)
        .with("id", id)
        .with("service", service)
        .with("addr", address)
        .with("zone", zone)
        .with("rev", revision)
        .with("slots", slots)
        .with("state", state.name())
        .with("seq", sequence)
        .with("warm", Math.max(0, warmUntil - now));
  }

  public static Vessel of(Flag f, long now) {
    return new Vessel(
        f.text("id"),
        f.text("service"),
        f.text("addr"),
        f.text("zone"),
        f.text("rev"),
        (int) f.number("slots"),
        VesselState.valueOf(f.text("state")),
        f.number("seq"),
        now + f.number("warm"));
  }

  public Vessel in(VesselState other) {
    return new Vessel(id, service, address, zone, revision, slots, other, sequence, warmUntil);
  }

  /** What is known after hearing {@code news}, this being what was known before. */
  public Vessel merge(Vessel news) {
    if (state == VesselState.GONE) {
      return this;
    }
    if (news.state == VesselState.GONE) {
      return news;
    }
    if (news.sequence < sequence
        || (news.sequence == sequence && news.state.compareTo(state) <= 0)) {
      return this;
    }
    if (state == VesselState.DRAINING && news.state == VesselState.IN_SERVICE) {
      return news.in(VesselState.DRAINING);
    }
    return news;
  }

  /** A number by which whole tables are compared; 0 for a life that is over. */
  long sum() {
    if (state.compareTo(VesselState.LOST) >= 0) {
      return 0;
    }
    return Hashing.murmur3_128()
        .hashString(
            id + "\n" + state + "\n" + service + "\n" + address + "\n" + slots,
            StandardCharsets.UTF_8)
        .asLong();
  }

  /** Whether delivering this instead of {@code old} tells anybody anything. */
  public boolean differs(Vessel old) {
    return old == null
        || old.state != state
        || old.slots != slots
        || !old.address.equals(address)
        || !old.service.equals(service);
  }
}
