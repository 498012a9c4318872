package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.keys.KeeperHost;
import org.otterpond.signal.Flag;

/** The core's primary, as the keeper of the key ranges sees it. */
final class KeeperDeck implements KeeperHost {
  private final Deck deck;
  private final Shore shore;
  private final Watch watch;
  private final Register register;
  private final Placement.Writer writer;

  KeeperDeck(Deck deck, Shore shore, Watch watch, Register register, Placement.Writer writer) {
    this.deck = deck;
    this.shore = shore;
    this.watch = watch;
    this.register = register;
    this.writer = writer;
  }

  @Override
  public long now() {
    return deck.now();
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    deck.after(delayMicros, task);
  }

  @Override
  public boolean assign(Flag entry, Runnable durable) {
    return writer.assign(entry, durable);
  }

  @Override
  public boolean authority() {
    return watch.authoritative();
  }

  @Override
  public long successorFrom() {
    return watch.quietUntil();
  }

  @Override
  public void call(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<Answer> answer) {
    shore.callWorker(address, instance, path, body, timeout, answer);
  }

  @Override
  public Worker worker(String instance) {
    Vessel v = register.get(instance);
    return v == null ? null : of(v);
  }

  private Worker of(Vessel v) {
    boolean alive = v.state().compareTo(VesselState.LOST) < 0;
    return new Worker(
        v.id(),
        v.address(),
        v.zone(),
        v.slots(),
        v.state() == VesselState.IN_SERVICE,
        alive,
        !alive && register.succeeded(v));
  }

  @Override
  public List<Worker> workers(String service) {
    List<Vessel> out = new ArrayList<>();
    for (Vessel v : register.newerThan(0)) {
      if (service.equals(v.service()) && v.state().compareTo(VesselState.LOST) < 0) {
        out.add(v);
      }
    }
    out.sort(Comparator.comparing(Vessel::id));
    return out.stream().map(this::of).toList();
  }

  @Override
  public long random(long bound) {
    return deck.random(bound);
  }

  @Override
  public void event(String line) {
    deck.event(line);
  }
}
