package org.otterpond.tools;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.otterpond.client.HeartbeatSender;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A stand-in worker that registers itself, for trying a system by hand. */
@Command(
    name = "sample-worker",
    description = "Runs a stand-in worker that registers with the system given.",
    mixinStandardHelpOptions = true)
public final class SampleWorker implements java.util.concurrent.Callable<Integer> {
  private static final long BEAT_MILLIS = 1_500;

  @Option(
      names = {"-n", "--node"},
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description = "Control points to beat to.")
  private java.util.List<String> nodes;

  @Option(names = "--service", required = true, description = "The service it works for.")
  private String service;

  @Option(names = "--zone", defaultValue = "-", description = "Its zone.")
  private String zone;

  @Parameters(paramLabel = "HOST:PORT", description = "Where it listens.")
  private String address;

  @Override
  public Integer call() throws IOException {
    String id = "i-sample-" + Long.toHexString(System.nanoTime());
    EventLoop eventLoop = new EventLoop();
    new SampleWorkerServer(eventLoop, id, PeerTransport.address(address));
    AtomicLong sequence = new AtomicLong();
    ScheduledExecutorService beats =
        Executors.newSingleThreadScheduledExecutor(
            r -> {
              Thread t = new Thread(r, "beats");
              t.setDaemon(true);
              return t;
            });
    HeartbeatSender to = new HeartbeatSender(nodes);
    beats.scheduleWithFixedDelay(
        () -> to.beat(id, service, address, zone, sequence.incrementAndGet()),
        0,
        BEAT_MILLIS,
        TimeUnit.MILLISECONDS);
    System.out.println("event=worker_started instance=" + id + " address=" + address);
    eventLoop.run();
    return 0;
  }
}
