package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.JsonFields;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.TokenGrant;
import org.otterpond.control.primary.QuotaOwner;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.MessageDestination;
import org.otterpond.messaging.message.MessageKeys;
import org.otterpond.net.EventLoop;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.storage.SegmentedLog;

/**
 * Guards against accepted messages that stay queued for ever (review/1): the lease of a primary
 * ends and is renewed between two ticks of its group, and what was about to be delivered meanwhile
 * is returned to its partition, not dropped.
 */
class LeaseExpiryDeliveryTest {
  private static final String SERVICE = "filing";
  private static final long DELAY_MICROS = 1_500_000;

  /** Longer than any pause of a message that was returned. */
  private static final long LONG_ENOUGH_MICROS = 1_000_000;

  private static final long OWNER_TERM = 7;

  private final ManualRuntime runtime = new ManualRuntime();
  private final ProxyMetrics metrics = new ProxyMetrics();
  private EventLoop eventLoop;
  private ControlPlaneAgent agent;
  private MessageDispatcher dispatcher;
  private MessagePartition partition;
  private boolean leaseValid = true;

  @TempDir private Path directory;

  @BeforeEach
  void startDispatcher() throws Exception {
    eventLoop = new EventLoop();
    Thread owner = new Thread(eventLoop);
    owner.setDaemon(true);
    owner.start();
    onOwnerThread(this::createPartition);
  }

  @AfterEach
  void stopEventLoop() {
    eventLoop.stop();
  }

  private interface Step {
    void run() throws Exception;
  }

  /**
   * Runs a step on the owner thread, then the rounds of the event loop that follow from it. Each
   * round is a task of the loop's own: tasks from here may all run before those of the step.
   */
  private void onOwnerThread(Step step) throws Exception {
    List<Step> rounds = List.of(step, () -> {}, () -> {}, () -> {});
    for (Step round : rounds) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      eventLoop.execute(() -> eventLoop.after(0, () -> run(round, done)));
      done.get(10, TimeUnit.SECONDS);
    }
  }

  private static void run(Step round, CompletableFuture<Void> done) {
    try {
      round.run();
      done.complete(null);
    } catch (Exception | AssertionError e) {
      done.completeExceptionally(e);
    }
  }

  private void createPartition() throws Exception {
    dispatcher = new MessageDispatcher(eventLoop, settings(), metrics);
    agent = AgentWithoutCore.create(runtime, "127.0.0.1:7600", "d");
    InMemorySegmentStore disk =
        new InMemorySegmentStore(new SegmentedLog(directory.resolve("log")), runtime);
    MessageStoreSettings storeSettings =
        new MessageStoreSettings(60_000_000, 60_000_000, 1 << 20, ReplicaGroupTimeouts.standard());
    dispatcher.fit(agent, new MessageStore(runtime, "d@a:1", disk, storeSettings, dispatcher));
    MessagePartition.Resources resources =
        new MessagePartition.Resources(disk, dispatcher, new MessageBodyCache(1 << 20), 60_000_000);
    partition = new MessagePartition(new GroupClock(runtime), resources, () -> leaseValid);
    partition.serving(true);
  }

  private NodeSettings settings() throws Exception {
    Path file = directory.resolve("node.json");
    Files.writeString(
        file,
        "{\"node_name\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"listen_points\":{},"
            + "\"internal_port_range\":[7600,7600],\"seed_peers\":[],\"bounds\":{}}");
    return NodeSettings.load(file);
  }

  private void configure(int ratePerSecond) throws Exception {
    String text =
        "{\"revision\":1,\"route_table\":[{\"name\":\"r\",\"host_name\":\"host\","
            + "\"path_prefix\":\"/\",\"route_type\":\"asynchronous\",\"guard_timer_ms\":1500,"
            + "\"target_service\":\"filing\",\"max_attempts\":3,\"retention_s\":90}],"
            + "\"service_table\":[{\"name\":\"filing\",\"max_connections\":10,\"rate_per_s\":"
            + ratePerSecond
            + "}]}";
    dispatcher.configured(ConfigurationParser.read(JsonFields.parse(text)));
  }

  private void workerArrives() {
    dispatcher.worker(
        new WorkerInstance(
            "i-1", SERVICE, "127.0.0.1:1", "z", "/health", 4, WorkerState.IN_SERVICE, 1, 1));
  }

  private void accept(String id, long delayMicros) {
    AcceptedMessage entry =
        new AcceptedMessage(
            new MessageKeys(id, "tenant", null, null),
            new MessageDestination("host", "/x", 1),
            Messages.content(1),
            delayMicros,
            90_000_000);
    partition.apply(entry.toWireRecord(), 1, 0, runtime.now());
  }

  private void renewLease() {
    leaseValid = true;
    runtime.run(LONG_ENOUGH_MICROS);
  }

  private void assertDelivered() {
    assertEquals(1, metrics.attempts.sum(), "attempts");
  }

  @Test
  void givenLeaseHasExpired_whenMessageFallsDue_thenItIsDeliveredOnceLeaseIsRenewed()
      throws Exception {
    onOwnerThread(() -> configure(0));
    onOwnerThread(this::workerArrives);
    onOwnerThread(() -> accept("m1", DELAY_MICROS));

    leaseValid = false;
    onOwnerThread(() -> runtime.run(DELAY_MICROS + 1_000));
    assertEquals(0, metrics.attempts.sum(), "attempts without a lease");
    onOwnerThread(this::renewLease);

    assertDelivered();
  }

  @Test
  void givenLeaseHasExpired_whenQueueIsServed_thenWaitingMessageIsDeliveredOnceLeaseIsRenewed()
      throws Exception {
    onOwnerThread(() -> configure(0));
    onOwnerThread(this::workerArrives);

    onOwnerThread(
        () -> {
          accept("m1", 0);
          leaseValid = false;
        });
    assertEquals(0, metrics.attempts.sum(), "attempts without a lease");
    onOwnerThread(this::renewLease);

    assertDelivered();
  }

  @Test
  void givenLeaseHasExpired_whenTokenIsGranted_thenWaitingMessageIsDeliveredOnceLeaseIsRenewed()
      throws Exception {
    onOwnerThread(() -> configure(10));
    onOwnerThread(this::workerArrives);
    onOwnerThread(() -> accept("m1", 0));

    leaseValid = false;
    onOwnerThread(this::grantToken);
    assertEquals(0, metrics.attempts.sum(), "attempts without a lease");
    onOwnerThread(this::renewLease);
    // The first token went back to its owner.
    onOwnerThread(this::grantToken);

    assertDelivered();
  }

  private void grantToken() {
    TokenGrant grant = new TokenGrant(QuotaOwner.rateLimitAccount(SERVICE), 1, 0, false);
    agent.stores().lent(OWNER_TERM, grant, runtime.now(), true);
  }
}
