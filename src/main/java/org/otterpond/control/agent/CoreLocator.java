package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.otterpond.control.bootstrap.CoreBootstrap;
import org.otterpond.control.message.NodeHello;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * Finds the core: asks seeds and known nodes for the newest epoch record, keeps that record and
 * passes it on to the neighbours that the primary assigned to this node. Used by the owner thread
 * only.
 */
final class CoreLocator {
  private static final long HELLO_INTERVAL_MICROS = 250_000;

  /** While the core is known but silent, the seeds are asked with every so manieth hello. */
  private static final int HELLOS_PER_SEED_HELLO = 4;

  private final NodeRuntime runtime;
  private final NodeIdentity identity;
  private final CoreBootstrap bootstrap;
  private final Supplier<Optional<CoreMember>> bootstrapDisk;

  private final Set<String> contacts = new LinkedHashSet<>();
  private final List<String> neighbours = new ArrayList<>();
  private EpochRecord known;
  private long lastHelloAt = Long.MIN_VALUE / 2;
  private int helloCount;

  /**
   * Creates a locator that knows the seeds only.
   *
   * @param bootstrapDisk this node's disk while it is blank and may take part in the bootstrap of
   *     the core, else empty
   */
  CoreLocator(
      NodeRuntime runtime,
      NodeIdentity identity,
      CoreBootstrap bootstrap,
      Supplier<Optional<CoreMember>> bootstrapDisk) {
    this.runtime = runtime;
    this.identity = identity;
    this.bootstrap = bootstrap;
    this.bootstrapDisk = bootstrapDisk;
    contacts.addAll(identity.seeds());
  }

  /** This node. */
  NodeIdentity identity() {
    return identity;
  }

  /** The newest epoch record that this node has seen, or null. */
  EpochRecord known() {
    return known;
  }

  /** The address of the primary of the newest known epoch, or null. */
  String primaryAddress() {
    return known == null ? null : known.primary().address();
  }

  /** Asks for the newest epoch record, at most once in {@link #HELLO_INTERVAL_MICROS}. */
  void hello(long now) {
    if (now - lastHelloAt < HELLO_INTERVAL_MICROS) {
      return;
    }
    lastHelloAt = now;
    Optional<CoreMember> blankDisk = bootstrapDisk.get();
    NodeHello message =
        new NodeHello(
            identity.address(),
            identity.name(),
            identity.zone(),
            blankDisk.map(CoreMember::diskId).orElse(null));
    helloRecipients().forEach(address -> runtime.send(address, message));
    if (identity.seeds().contains(identity.address())) {
      blankDisk.ifPresent(bootstrap::blankDisk);
    }
  }

  private Set<String> helloRecipients() {
    Set<String> recipients = new LinkedHashSet<>();
    if (known != null) {
      known.members().forEach(member -> recipients.add(member.address()));
    }
    if (known == null || ++helloCount % HELLOS_PER_SEED_HELLO == 0) {
      recipients.addAll(identity.seeds());
    }
    if (!contacts.isEmpty()) {
      List<String> candidates = List.copyOf(contacts);
      recipients.add(candidates.get((int) runtime.random(candidates.size())));
    }
    recipients.remove(identity.address());
    return recipients;
  }

  /** Answers a node that looks for the core, and notes its blank disk for the bootstrap. */
  void onHello(String from, NodeHello hello) {
    if (hello.blankDiskId() != null) {
      bootstrap.blankDisk(
          new CoreMember(hello.blankDiskId(), hello.address(), hello.name(), hello.zone()));
    }
    announceTo(from);
  }

  /**
   * Takes over a record if it is of a newer epoch of the same fleet.
   *
   * @return whether it was taken over
   */
  boolean adopt(EpochRecord record) {
    if (known != null
        && (record.epoch() <= known.epoch() || !record.fleet().equals(known.fleet()))) {
      return false;
    }
    known = record;
    record.members().forEach(member -> contacts.add(member.address()));
    runtime.event(
        "event=epoch_learnt epoch=" + record.epoch() + " primary=" + record.primary().name());
    return true;
  }

  /** Replaces the nodes that this node informs of a new epoch. */
  void setNeighbours(List<String> addresses) {
    neighbours.clear();
    neighbours.addAll(addresses);
    contacts.addAll(addresses);
  }

  /** Adds the address of a node that may be asked for the core. */
  void addContact(String address) {
    contacts.add(address);
  }

  /** Sends the known record to one node; does nothing while none is known. */
  void announceTo(String address) {
    if (known != null) {
      runtime.send(address, new EpochAnnouncement(known));
    }
  }

  /**
   * Sends the known record to the neighbours, at once: a node that waits for the former primary
   * would notice the change by its own time-out only.
   */
  void announceToNeighbours() {
    announce(neighbours);
  }

  /** Sends the known record to every node that this node has been in touch with. */
  void announceToContacts() {
    announce(contacts);
  }

  private void announce(Collection<String> addresses) {
    addresses.stream()
        .filter(address -> !address.equals(identity.address()))
        .forEach(this::announceTo);
  }
}
