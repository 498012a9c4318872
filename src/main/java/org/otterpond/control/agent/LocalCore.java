package org.otterpond.control.agent;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.otterpond.control.bootstrap.CoreBootstrap;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.epoch.EpochListener;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.PrimaryServices;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * What one node runs of the core: the bootstrap everywhere, and a core member with the services of
 * the primary where there is a disk for them. On a node without such a disk the methods of the
 * member do nothing. Used by the owner thread only.
 */
final class LocalCore {
  private static final long FIRST_EPOCH = 1;

  /**
   * Idempotency-key locks are kept for this long beyond the deployment's window, which covers the
   * longest time between the grant of a lock and the sending of the request that it admits.
   */
  private static final long KEY_LOCK_MARGIN_MICROS = 10_000_000;

  private final NodeIdentity identity;
  private final CoreBootstrap bootstrap;

  /** This node's core member, or null. */
  private final EpochReplica replica;

  /** The services of the primary; null exactly where {@link #replica} is. */
  private final PrimaryServices primaryServices;

  LocalCore(
      NodeRuntime runtime,
      NodeIdentity identity,
      DataPlane dataPlane,
      ControlPlaneSettings settings,
      EpochListener listener) {
    this.identity = identity;
    this.bootstrap =
        new CoreBootstrap(
            runtime,
            identity.address(),
            identity.seeds(),
            identity.firstStart(),
            settings.faultTolerance());
    if (identity.diskId() == null) {
      this.replica = null;
      this.primaryServices = null;
      return;
    }
    ReplicatedState state =
        new ReplicatedState(settings.keyWindowMicros() + KEY_LOCK_MARGIN_MICROS);
    this.replica =
        new EpochReplica(
            runtime,
            EpochTimeouts.standard(),
            listener,
            ownMember(),
            state,
            settings.faultTolerance());
    this.primaryServices = new PrimaryServices(runtime, replica, ownMember(), dataPlane, settings);
  }

  private CoreMember ownMember() {
    return new CoreMember(identity.diskId(), identity.address(), identity.name(), identity.zone());
  }

  CoreBootstrap bootstrap() {
    return bootstrap;
  }

  /** This node's disk while it is blank and may become part of the first core, else empty. */
  Optional<CoreMember> bootstrapDisk() {
    return mayBootstrap() ? Optional.of(ownMember()) : Optional.empty();
  }

  private boolean mayBootstrap() {
    return replica != null && !replica.hasRecord() && identity.blankDisk() && identity.firstStart();
  }

  /** Replays one record of the write-ahead log. */
  void replay(WireRecord record) {
    if (replica != null) {
      replica.replay(record);
    }
  }

  /** The newest epoch record that the member has accepted, or null. */
  EpochRecord acceptedRecord() {
    return replica == null ? null : replica.record();
  }

  /** The records with which a new write-ahead log begins; only where there is a core member. */
  List<WireRecord> journalBase() {
    return replica.journalBase();
  }

  /**
   * Does the periodic work of the bootstrap.
   *
   * @return the first epoch record once it is decided, else null
   */
  EpochRecord tickBootstrap() {
    bootstrap.tick();
    return bootstrap.decided();
  }

  /** Does the periodic work of the core member and of the primary. */
  void tick() {
    if (replica != null) {
      replica.tick();
      primaryServices.tick();
    }
  }

  /** Informs the core member of an epoch record. */
  void learn(EpochRecord record) {
    if (record.epoch() == FIRST_EPOCH && mayBootstrap()) {
      replica.acceptFirstRecord(record);
    }
    if (replica != null) {
      replica.learn(record);
    }
  }

  /**
   * Starts the services of the primary.
   *
   * @param continued whether this node was primary of the epoch before and no other can have been
   *     primary in between
   * @param configuration the configuration in use on this node
   */
  void began(boolean continued, ParsedConfiguration configuration) {
    primaryServices.began(continued, configuration);
  }

  /** Stops the services of the primary. */
  void steppedDown() {
    primaryServices.steppedDown();
  }

  /** The configuration of a revision if the primary on this node has parsed it, else null. */
  ParsedConfiguration parsedConfiguration(long revision) {
    return primaryServices == null ? null : primaryServices.read(revision);
  }

  /**
   * Answers a poll.
   *
   * @return false if this node can never be primary
   */
  boolean onPoll(String from, WireRecord poll) {
    if (primaryServices == null) {
      return false;
    }
    primaryServices.onPoll(from, poll);
    return true;
  }

  /** Serves a request to the primary; nothing is answered on a node that can never be primary. */
  void onRequest(WireRecord request, Consumer<WireRecord> reply) {
    if (primaryServices != null) {
      primaryServices.serve(request, reply);
    }
  }

  /**
   * Takes a message of the bootstrap or of the epoch protocol.
   *
   * @return false if the message is of neither
   */
  boolean onMessage(String from, WireRecord message) {
    return bootstrap.onMessage(from, message)
        || (replica != null && replica.onMessage(from, message));
  }

  /** Another node has closed its connection: its process has probably ended. */
  void onConnectionClosed(String address) {
    if (replica != null) {
      replica.peerClosed(address);
    }
  }

  /** Whether this node is the primary. */
  boolean isPrimary() {
    return replica != null && replica.leading();
  }

  /** Hands over this node's roles before a planned shutdown. */
  void retire() {
    if (replica != null) {
      replica.retire();
    }
  }

  /** Whether the core still depends on this node's copy of the state. */
  boolean isNeeded() {
    return replica != null && replica.needed();
  }
}
