package org.otterpond.tools;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.message.ClaimKeyRequest;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.QuotaSettings;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.runtime.NodeRuntime;

/**
 * The control plane of a node without a data path. Many share one process and one event loop, whose
 * owner thread is the only one to use them.
 */
final class HollowNode implements NodeRuntime, DataPlane {
  private static final long HEARTBEAT_MICROS = 1_500_000;
  private static final long KEY_WINDOW_MICROS = 60_000_000;
  private static final long QUOTA_WINDOW_MICROS = 5_000_000;
  private static final double QUOTA_EXCESS = 0.1;
  private static final double QUOTA_SLACK = 20;
  private static final int WORKER_SLOTS = 4;
  private static final long LOCK_TIMEOUT_MICROS = 1_000_000;
  private static final long LOCK_RESEND_MICROS = 300_000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EventLoop eventLoop;
  private final String address;
  private final long incarnation = ThreadLocalRandom.current().nextLong() >>> 1;
  private final ControlPlaneAgent agent;
  private final PeerTransport transport;
  private LoadTotals totals = LoadTotals.ZERO;
  private long lastKeyNumber;
  private long revision;
  private long revisionAppliedAt;

  HollowNode(EventLoop eventLoop, String address, String zone, List<String> seeds)
      throws IOException {
    this.eventLoop = eventLoop;
    this.address = address;
    this.agent =
        new ControlPlaneAgent(
            this,
            new NodeIdentity(
                address, "hollow-" + address, zone, null, false, false, seeds, incarnation),
            this,
            new ControlPlaneSettings(
                HEARTBEAT_MICROS,
                KEY_WINDOW_MICROS,
                1,
                new QuotaSettings(
                    QUOTA_WINDOW_MICROS,
                    QUOTA_EXCESS,
                    QUOTA_SLACK,
                    EpochTimeouts.standard().lent())));
    this.transport = new PeerTransport(eventLoop, address, this::onMessage, agent::peerLost);
  }

  ControlPlaneAgent agent() {
    return agent;
  }

  /** What this node has sent, received and been answered so far. */
  LoadTotals totals() {
    return totals;
  }

  /** The revision of the configuration in use. */
  long revision() {
    return revision;
  }

  /** When that came into use, in microseconds of the event loop's clock. */
  long revisionAppliedAt() {
    return revisionAppliedAt;
  }

  private void onMessage(String from, WireRecord message) {
    countMessage(message);
    agent.onMessage(from, message);
  }

  private void countMessage(WireRecord message) {
    int bytes = WireRecordCodec.encode(message).length;
    totals = totals.plus(new LoadTotals(1, bytes, 0, 0, 0, 0, 0));
  }

  /** Sends the heartbeats of workers to this node, as to a node with a disk, from now on. */
  void sendHeartbeats(Map<String, String> addressByInstance, String service) {
    sendHeartbeats(addressByInstance, service, /* sequence= */ 1);
  }

  private void sendHeartbeats(
      Map<String, String> addressByInstance, String service, long sequence) {
    addressByInstance.forEach(
        (instance, workerAddress) ->
            agent.beat(
                new WorkerInstance(
                    instance,
                    service,
                    workerAddress,
                    HollowFleet.ZONE,
                    "v1",
                    WORKER_SLOTS,
                    WorkerState.IN_SERVICE,
                    sequence,
                    0),
                acknowledged -> {}));
    eventLoop.after(
        HEARTBEAT_MICROS, () -> sendHeartbeats(addressByInstance, service, sequence + 1));
  }

  /**
   * Requests idempotency-key locks from now on.
   *
   * @param perSecond the mean rate
   * @param repeatedPart the part of the requests that are for a key locked before, from 0 to 1
   */
  void requestLocks(double perSecond, double repeatedPart) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    long delayMicros = (long) (MICROS_PER_SECOND / perSecond * (0.5 + random.nextDouble()));
    eventLoop.after(
        delayMicros,
        () -> {
          requestLock(lastKeyNumber > 0 && random.nextDouble() < repeatedPart);
          requestLocks(perSecond, repeatedPart);
        });
  }

  private void requestLock(boolean repeated) {
    long keyNumber =
        repeated ? ThreadLocalRandom.current().nextLong(lastKeyNumber) + 1 : ++lastKeyNumber;
    String key = incarnation + "-" + keyNumber;
    long requestedAt = now();
    String token = repeated ? key + "-" + requestedAt : key;
    agent.ask(
        new ClaimKeyRequest("host h\n" + key, token, address, null),
        LOCK_TIMEOUT_MICROS,
        LOCK_RESEND_MICROS,
        reply -> countLock(reply, now() - requestedAt));
  }

  private void countLock(WireRecord reply, long micros) {
    if (reply == null) {
      return;
    }
    totals =
        totals.plus(
            reply.truth("granted")
                ? new LoadTotals(0, 0, 1, micros, 0, 0, 0)
                : new LoadTotals(0, 0, 0, 0, 1, micros, 0));
  }

  @Override
  public long now() {
    return EventLoop.now();
  }

  @Override
  public long timeOfDayMicros() {
    return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
  }

  @Override
  public void send(String to, WireRecord message) {
    countMessage(message);
    transport.send(to, message);
  }

  @Override
  public void journal(WireRecord record, Consumer<Boolean> done) {
    throw new IllegalStateException("a hollow node has no disk");
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    eventLoop.after(delayMicros, task);
  }

  @Override
  public long random(long bound) {
    return ThreadLocalRandom.current().nextLong(bound);
  }

  @Override
  public void event(String line) {
    // The events of hundreds of nodes would hide the results.
  }

  @Override
  public void configured(GatewayConfiguration configuration) {
    revision = configuration.revision();
    revisionAppliedAt = now();
  }

  @Override
  public void worker(WorkerInstance worker) {
    // There is no data path.
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // There is no data path.
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }
}
