package org.otterpond.tools;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.otterpond.client.HeartbeatSender;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A command that runs a worker for trying out a system by hand. */
@Command(
    name = "sample-worker",
    description =
        "Runs a sample worker that sends heartbeats and answers every request with 200, until it"
            + " is stopped.",
    mixinStandardHelpOptions = true)
public final class SampleWorker implements Callable<Integer> {
  private static final long HEARTBEAT_INTERVAL_MILLIS = 1_500;

  @Option(
      names = {"-n", "--node"},
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description = "Control points of the nodes to send heartbeats to, tried in this order.")
  private List<String> nodes;

  @Option(
      names = "--service",
      required = true,
      paramLabel = "NAME",
      description = "The service that the worker belongs to.")
  private String service;

  @Option(
      names = "--zone",
      defaultValue = "-",
      paramLabel = "NAME",
      description = "The worker's zone; default ${DEFAULT-VALUE}.")
  private String zone;

  @Parameters(paramLabel = "HOST:PORT", description = "The address to listen on.")
  private String address;

  @Override
  public Integer call() throws IOException {
    String instance = "i-sample-" + Long.toHexString(System.nanoTime());
    EventLoop eventLoop = new EventLoop();
    new SampleWorkerServer(eventLoop, instance, PeerTransport.address(address));
    ScheduledExecutorService heartbeats =
        Executors.newSingleThreadScheduledExecutor(daemonThreads("heartbeats"));
    HeartbeatSender sender = new HeartbeatSender(nodes);
    AtomicLong sequence = new AtomicLong();
    ScheduledFuture<?> schedule =
        heartbeats.scheduleWithFixedDelay(
            () ->
                sender.sendHeartbeat(instance, service, address, zone, sequence.incrementAndGet()),
            0,
            HEARTBEAT_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    try {
      System.out.println("event=worker_started instance=" + instance + " address=" + address);
      eventLoop.run();
      return 0;
    } finally {
      schedule.cancel(false);
      heartbeats.shutdownNow();
    }
  }

  private static ThreadFactory daemonThreads(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
