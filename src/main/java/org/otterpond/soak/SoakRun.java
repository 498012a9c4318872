package org.otterpond.soak;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.otterpond.client.ControlApiClient;
import org.otterpond.client.ControlApiException;

/** One soak from the start of its nodes to the report. */
final class SoakRun implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 1_000;
  private static final long SETTLE_MILLIS = 2_500;
  private static final long CLIENT_END_MILLIS = 8_000;
  private static final long DISTURBER_END_MILLIS = 60_000;
  private static final int NODES_PER_CALL = 4;

  private final SoakOptions options;
  private final SoakRecords records = new SoakRecords();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<SoakWorker> workers = new ArrayList<>();
  private final List<SoakClient> clients = new ArrayList<>();
  private final List<Thread> clientThreads = new ArrayList<>();
  private final ScheduledExecutorService heartbeats;
  private final List<ScheduledFuture<?>> heartbeatSchedules = new ArrayList<>();
  private final AtomicLong heartbeatNumber = new AtomicLong();

  SoakRun(SoakOptions options) {
    this.options = options;
    this.heartbeats =
        Executors.newScheduledThreadPool(
            options.workers(),
            task -> {
              Thread thread = new Thread(task, "soak-heartbeats");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Plays the schedule of the seed. */
  SoakReport play() throws IOException, InterruptedException {
    Files.createDirectories(options.folder());
    records.pressure.start();
    startNodes();
    startWorkers();
    SoakOperator operator = new SoakOperator(controlPoints(new Random(options.seed())), records);
    operator.begin();
    Thread.sleep(SETTLE_MILLIS);
    startClients();
    disturb(operator);
    stopClients();
    restore();
    Thread.sleep(SETTLE_MILLIS);
    operator.checkNewest();
    new NodeInspection(nodes, records).inspect();
    return SoakReport.of(options, records);
  }

  private void startNodes() throws IOException {
    for (int number = 0; number < options.nodes(); number++) {
      NodeProcess node = new NodeProcess(options, number);
      nodes.add(node);
      node.start(true);
    }
  }

  private void startWorkers() throws IOException {
    InetAddress address = InetAddress.getByName("127." + options.network() + ".1.1");
    for (int number = 0; number < options.workers(); number++) {
      Random random = new Random(options.seed() * options.workers() + number);
      SoakWorker worker =
          new SoakWorker(
              number,
              address,
              records,
              announcing -> heartbeats.execute(() -> sendHeartbeat(announcing, random)));
      workers.add(worker);
      heartbeatSchedules.add(
          heartbeats.scheduleWithFixedDelay(
              () -> sendHeartbeat(worker, random), 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private void sendHeartbeat(SoakWorker worker, Random random) {
    if (worker.isCrashed()) {
      return;
    }
    JsonObject heartbeat = new JsonObject();
    heartbeat.addProperty("target_service", SoakConfiguration.SERVICE);
    heartbeat.addProperty("address", worker.advertisedAddress());
    heartbeat.addProperty("zone", "z");
    heartbeat.addProperty("capacity_slots", SoakWorker.SLOTS);
    heartbeat.addProperty("state", "in_service");
    heartbeat.addProperty("warmup_left_ms", worker.slowStartLeftMillis());
    heartbeat.addProperty("call_sequence", heartbeatNumber.incrementAndGet());
    try {
      new ControlApiClient(controlPoints(random))
          .post("/-/Instances.Heartbeat/" + worker.instance(), heartbeat.toString());
    } catch (ControlApiException e) {
      // The next one may get through.
    }
  }

  /** A few nodes in random order, as the operators' clients pick them. */
  private List<String> controlPoints(Random random) {
    List<String> all = new ArrayList<>(nodes.stream().map(NodeProcess::controlPoint).toList());
    Collections.shuffle(all, random);
    return all.subList(0, Math.min(NODES_PER_CALL, all.size()));
  }

  private void startClients() {
    for (int number = 0; number < options.clients(); number++) {
      SoakClient client = new SoakClient(options, records, number);
      clients.add(client);
      clientThreads.add(SoakThreads.start("client", client));
    }
  }

  private void disturb(SoakOperator operator) throws InterruptedException {
    Disturber disturber = new Disturber(nodes, workers, clients, operator, records);
    List<Thread> disturbances = new ArrayList<>();
    long begunAtNanos = System.nanoTime();
    for (Disturbance disturbance : SoakSchedule.of(options.seed(), options.seconds())) {
      sleepUntil(begunAtNanos, disturbance.atMillis());
      disturbances.add(disturber.begin(disturbance));
    }
    sleepUntil(begunAtNanos, TimeUnit.SECONDS.toMillis(options.seconds()));
    for (Thread disturbance : disturbances) {
      disturbance.join(DISTURBER_END_MILLIS);
    }
  }

  private static void sleepUntil(long begunAtNanos, long millis) throws InterruptedException {
    long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAtNanos);
    Thread.sleep(Math.max(0, millis - passedMillis));
  }

  private void stopClients() throws InterruptedException {
    clients.forEach(SoakClient::stop);
    for (Thread thread : clientThreads) {
      thread.join(CLIENT_END_MILLIS);
    }
  }

  /** Resumes and starts what the last disturbances may have left. */
  private void restore() throws IOException {
    for (NodeProcess node : nodes) {
      node.signal("CONT");
      if (!node.isRunning()) {
        records.findings.add(node.address() + " ended by itself");
        node.start(false);
      }
    }
  }

  @Override
  public void close() throws IOException {
    heartbeatSchedules.forEach(schedule -> schedule.cancel(false));
    heartbeats.shutdownNow();
    clients.forEach(SoakClient::stop);
    records.pressure.stop();
    for (SoakWorker worker : workers) {
      worker.close();
    }
    nodes.forEach(NodeProcess::close);
  }
}
