package org.otterpond.control.bootstrap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * Decides the record of the first epoch among the seed nodes by single-decree Paxos. A seed takes
 * part only in its first incarnation: after a restart it has forgotten its promises.
 *
 * <p>Confined to the owner thread. The number of seeds is at most eight.
 */
public final class CoreBootstrap {
  private static final long FIRST_EPOCH = 1;

  /** The first seed waits this long after its start, and each further one this long more. */
  private static final long PROPOSAL_DELAY_MICROS = 2_000_000;

  /** No proposal is started until no new disk has appeared for this time. */
  private static final long DISK_SETTLE_MICROS = 1_500_000;

  /** An undecided proposal is retried after this time and a random part of the jitter. */
  private static final long RETRY_MICROS = 1_000_000;

  private static final long RETRY_JITTER_MICROS = 500_000;

  private final NodeRuntime runtime;
  private final String self;
  private final List<String> seeds;
  private final FaultTolerance faultTolerance;
  private final boolean participates;
  private final long firstProposalMicros;

  private final Map<String, CoreMember> blankDisks = new LinkedHashMap<>();
  private long lastDiskMicros;

  private final Acceptor acceptor = new Acceptor();
  private final Proposer proposer;
  private long proposedMicros;

  /**
   * Creates the bootstrap of one node.
   *
   * @param self internal address of this node
   * @param seeds internal addresses of the seeds, in the same order on all nodes
   * @param firstIncarnation whether this process is the first of this node
   * @param faultTolerance chooses members and backups
   */
  public CoreBootstrap(
      NodeRuntime runtime,
      String self,
      List<String> seeds,
      boolean firstIncarnation,
      FaultTolerance faultTolerance) {
    this.runtime = runtime;
    this.self = self;
    this.seeds = seeds;
    this.faultTolerance = faultTolerance;
    int rank = seeds.indexOf(self);
    this.participates = firstIncarnation && rank >= 0;
    this.firstProposalMicros = runtime.now() + (rank + 1) * PROPOSAL_DELAY_MICROS;
    this.lastDiskMicros = runtime.now();
    this.proposer = new Proposer(rank, seeds.size());
  }

  /** Returns the record of the first epoch, or null while this node knows of no decision. */
  public EpochRecord decided() {
    return proposer.decided();
  }

  /** Adds a blank disk that announced itself in its node's first start. */
  public void blankDisk(CoreMember disk) {
    if (blankDisks.put(disk.diskId(), disk) == null) {
      lastDiskMicros = runtime.now();
    }
  }

  /** Starts or retries a proposal if it is time for one; called at short intervals. */
  public void tick() {
    long now = runtime.now();
    if (!participates || decided() != null || blankDisks.isEmpty()) {
      return;
    }
    if (now < firstProposalMicros || now - lastDiskMicros < DISK_SETTLE_MICROS) {
      return;
    }
    if (proposer.hasProposed()
        && now - proposedMicros < RETRY_MICROS + runtime.random(RETRY_JITTER_MICROS)) {
      return;
    }
    proposedMicros = now;
    sendToSeeds(proposer.prepare(acceptor.promisedNumber()));
  }

  /**
   * Handles a message if it is one of the bootstrap. A malformed one is logged and dropped.
   *
   * @param from internal address of the sender
   * @return whether it was a message of the bootstrap
   */
  public boolean onMessage(String from, WireRecord encoded) {
    if (!BootstrapMessage.isKind(encoded.kind())) {
      return false;
    }
    try {
      handle(from, BootstrapMessage.of(encoded));
    } catch (ProtocolException e) {
      runtime.malformedMessage(from, e);
    }
    return true;
  }

  private void handle(String from, BootstrapMessage message) {
    if (message instanceof BootstrapMessage.Prepare prepare) {
      onPrepare(from, prepare);
    } else if (message instanceof BootstrapMessage.Promise promise) {
      onPromise(from, promise);
    } else if (message instanceof BootstrapMessage.Accept accept) {
      onAccept(from, accept);
    } else if (message instanceof BootstrapMessage.Accepted accepted) {
      onAccepted(from, accepted);
    }
  }

  private void onPrepare(String from, BootstrapMessage.Prepare prepare) {
    if (participates) {
      acceptor.onPrepare(prepare).ifPresent(promise -> send(from, promise));
    }
  }

  private void onPromise(String from, BootstrapMessage.Promise promise) {
    proposer.onPromise(from, promise, this::firstEpoch).ifPresent(this::sendToSeeds);
  }

  private void onAccept(String from, BootstrapMessage.Accept accept) {
    if (participates) {
      acceptor.onAccept(accept).ifPresent(accepted -> send(from, accepted));
    }
  }

  private void onAccepted(String from, BootstrapMessage.Accepted accepted) {
    if (proposer.onAccepted(from, accepted)) {
      EpochRecord first = decided();
      runtime.event(
          "event=core_bootstrapped members="
              + first.members().size()
              + " primary="
              + first.primary().name());
    }
  }

  private void sendToSeeds(BootstrapMessage message) {
    for (String seed : seeds) {
      send(seed, message);
    }
  }

  private void send(String address, BootstrapMessage message) {
    if (address.equals(self)) {
      handle(self, message);
    } else {
      runtime.send(address, message);
    }
  }

  /** Returns the record to propose: the known disks as members, the first one as primary. */
  private EpochRecord firstEpoch() {
    List<CoreMember> disks = new ArrayList<>(blankDisks.values());
    disks.sort(Comparator.comparing(CoreMember::address));
    List<CoreMember> members = faultTolerance.members(disks);
    CoreMember primary = members.get(0);
    List<CoreMember> backups =
        faultTolerance.backups(
            primary,
            members.subList(1, members.size()),
            Comparator.comparing(members::indexOf),
            faultTolerance.backupCount());
    String fleet = Long.toHexString(runtime.random(Long.MAX_VALUE));
    return new EpochRecord(fleet, FIRST_EPOCH, primary, backups, members, members.size());
  }
}
