package org.otterpond.control.state;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.otterpond.protocol.WireRecord;

/**
 * One life of a worker, as its newest beat told it. Times in microseconds of the reading node's
 * monotonic clock.
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
    long warmUntil) {

  public WireRecord toWireRecord(long now) {
    return toWireRecord("vessel", now);
  }

  public WireRecord toWireRecord(String kind, long now) {
    return new WireRecord(kind)
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

  public static WorkerInstance of(WireRecord f, long now) {
    return new WorkerInstance(
        f.text("id"),
        f.text("service"),
        f.text("addr"),
        f.text("zone"),
        f.text("rev"),
        (int) f.number("slots"),
        WorkerState.valueOf(f.text("state")),
        f.number("seq"),
        now + f.number("warm"));
  }

  public WorkerInstance in(WorkerState other) {
    return new WorkerInstance(
        id, service, address, zone, revision, slots, other, sequence, warmUntil);
  }

  /** What is known after hearing {@code news}, this being what was known before. */
  public WorkerInstance merge(WorkerInstance news) {
    if (state == WorkerState.GONE) {
      return this;
    }
    if (news.state == WorkerState.GONE) {
      return news;
    }
    if (news.sequence < sequence
        || (news.sequence == sequence && news.state.compareTo(state) <= 0)) {
      return this;
    }
    if (state == WorkerState.DRAINING && news.state == WorkerState.IN_SERVICE) {
      return news.in(WorkerState.DRAINING);
    }
    return news;
  }

  /** A number by which whole tables are compared; 0 for a life that is over. */
  public long sum() {
    if (state.compareTo(WorkerState.LOST) >= 0) {
      return 0;
    }
    return Hashing.murmur3_128()
        .hashString(
            id + "\n" + state + "\n" + service + "\n" + address + "\n" + slots,
            StandardCharsets.UTF_8)
        .asLong();
  }

  /** Whether delivering this instead of {@code old} tells anybody anything. */
  public boolean differs(WorkerInstance old) {
    return old == null
        || old.state != state
        || old.slots != slots
        || !old.address.equals(address)
        || !old.service.equals(service);
  }
}
