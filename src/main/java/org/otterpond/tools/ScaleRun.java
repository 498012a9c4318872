package org.otterpond.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures what the core costs at several sizes: real core nodes, each a process with a disk
 * folder, and hollow nodes and workers that share this one. All on the loopback, bounded in count
 * and time; it ends by itself.
 */
@Command(
    name = "scale-run",
    description = "Measures the core's cost at several sizes on the loopback of this machine.",
    mixinStandardHelpOptions = true)
public final class ScaleRun implements Callable<Integer> {
  private static final int MOST_NODES = 600;
  private static final int INTERNAL = 17_540;
  private static final int CONTROL = 17_544;
  private static final int WORKER = 18_080;
  private static final String SERVICE = "scale";
  private static final double TICKS = 100;

  @Option(
      names = "--core",
      defaultValue = "3",
      description = "Real nodes with a disk; 3 if left out.")
  private int core;

  @Option(
      names = "--sizes",
      defaultValue = "25,50,100,200",
      split = ",",
      description = "Hollow nodes at each step, rising; 600 at the most.")
  private List<Integer> sizes;

  @Option(names = "--workers", defaultValue = "3", description = "Workers to a hollow node.")
  private int workers;

  @Option(
      names = "--claims",
      defaultValue = "0",
      description = "Operation keys a second and hollow node.")
  private double claims;

  @Option(
      names = "--repeats",
      defaultValue = "0",
      description = "The part of the claims that are for keys claimed before, 0 to 1.")
  private double repeats;

  @Option(
      names = "--divided",
      description = "The workers' service is divided by keys, which the core grants them.")
  private boolean divided;

  @Option(
      names = "--routes",
      defaultValue = "200",
      description = "Routes of the configuration that is spread.")
  private int routes;

  @Option(names = "--seconds", defaultValue = "6", description = "How long each step is measured.")
  private int seconds;

  @Option(
      names = "--jar",
      defaultValue = "target/otterpond.jar",
      description = "The program to run the core with.")
  private Path jar;

  private final List<Process> processes = new ArrayList<>();
  private final List<HollowNode> hollow = new ArrayList<>();
  private final List<SampleWorkerServer> granted = new ArrayList<>();
  private EventLoop eventLoop;

  @Override
  public Integer call() throws Exception {
    if (sizes.stream().anyMatch(n -> n < 1 || n > MOST_NODES) || core < 1 || core > 7) {
      System.err.println("otterpond: --sizes: 1 to " + MOST_NODES + "; --core: 1 to 7");
      return 2;
    }
    Path folder = Files.createTempDirectory("scale-run");
    try {
      for (int i = 1; i <= core; i++) {
        processes.add(start(folder, i));
      }
      eventLoop = new EventLoop();
      Thread owner = new Thread(eventLoop, "hollow");
      owner.setDaemon(true);
      owner.start();
      return measure();
    } finally {
      processes.forEach(Process::destroyForcibly);
    }
  }

  private Process start(Path folder, int i) throws IOException {
    JsonObject o = new JsonObject();
    String ip = "127.0.1." + i;
    o.addProperty("node_name", "core-" + i);
    o.addProperty("ip", ip);
    o.addProperty("zone", "zone");
    JsonObject points = new JsonObject();
    points.addProperty("control_point", ip + ":" + CONTROL);
    o.add("listen_points", points);
    JsonArray ports = new JsonArray();
    ports.add(INTERNAL);
    ports.add(INTERNAL + 15);
    o.add("internal_port_range", ports);
    JsonArray seeds = new JsonArray();
    for (int s = 1; s <= Math.min(3, core); s++) {
      seeds.add("127.0.1." + s + ":" + CONTROL);
    }
    o.add("seed_peers", seeds);
    o.addProperty("initial_start", true);
    o.addProperty("data_dir", folder.resolve("core-" + i).toString());
    Path file = folder.resolve("core-" + i + ".json");
    Files.writeString(file, o.toString(), StandardCharsets.UTF_8);
    ProcessBuilder b =
        new ProcessBuilder(
            "java",
            "-Xms24m",
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            jar.toString(),
            "node");
    b.environment().put("OTTERPOND_CONFIG", file.toString());
    b.redirectErrorStream(true).redirectOutput(folder.resolve("core-" + i + ".log").toFile());
    return b.start();
  }

  /** Runs it on the owner thread and waits. */
  private <T> T on(Supplier<T> what) throws InterruptedException {
    CompletableFuture<T> f = new CompletableFuture<>();
    eventLoop.execute(() -> f.complete(what.get()));
    try {
      return f.get(20, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the hollow nodes do not keep up", e);
    }
  }

  private int measure() throws InterruptedException {
    System.out.printf(
        Locale.ROOT,
        "%6s %8s %9s %10s %10s %9s %10s %10s %10s %10s %9s %9s %9s%n",
        "nodes",
        "workers",
        "claims/s",
        "primary%",
        "others%",
        "peak MB",
        "node msg/s",
        "node B/s",
        "news ms",
        "grants/s",
        "claim ms",
        "again/s",
        "again ms");
    List<String> seeds = new ArrayList<>();
    for (int s = 1; s <= Math.min(3, core); s++) {
      seeds.add("127.0.1." + s + ":" + INTERNAL);
    }
    long revision = 0;
    for (int size : sizes) {
      grow(size, seeds);
      await(
          () -> hollow.stream().allMatch(h -> h.node.known() != null && !h.node.outOfTouch()), 20);
      long base = revision;
      long next = ++revision;
      long sentAt = EventLoop.now();
      on(
          () -> {
            change(base, next);
            return null;
          });
      await(() -> hollow.stream().allMatch(h -> h.revision >= next), 15);
      long slowest =
          on(() -> hollow.stream().mapToLong(h -> h.revisionAt).max().orElse(0)) - sentAt;
      // Beats, first grants and the compiler settle.
      Thread.sleep(divided ? 9_000 : 4_000);
      long[] before = on(this::totals);
      double[] cpu = cpu();
      long from = EventLoop.now();
      Thread.sleep(1000L * seconds);
      long[] after = on(this::totals);
      double[] then = cpu();
      double s = (EventLoop.now() - from) / 1e6;
      double most = 0;
      double sum = 0;
      for (int i = 0; i < cpu.length; i++) {
        double c = 100 * (then[i] - cpu[i]) / s;
        most = Math.max(most, c);
        sum += c;
      }
      int n = hollow.size();
      System.out.printf(
          Locale.ROOT,
          "%6d %8d %9.0f %10.2f %10.2f %9.0f %10.2f %10.0f %10.0f %10.0f %9.2f %9.0f %9.2f%n",
          n,
          n * workers,
          (after[2] - before[2]) / s,
          most,
          core > 1 ? (sum - most) / (core - 1) : 0,
          peak(),
          (after[0] - before[0]) / s / n,
          (after[1] - before[1]) / s / n,
          slowest / 1000.0,
          (after[3] - before[3]) / s,
          mean(before, after, 4, 2),
          (after[5] - before[5]) / s,
          mean(before, after, 6, 5));
    }
    return 0;
  }

  private void grow(int size, List<String> seeds) throws InterruptedException {
    String failed =
        on(
            () -> {
              try {
                while (hollow.size() < size) {
                  int i = hollow.size() + 1;
                  HollowNode h =
                      new HollowNode(
                          eventLoop,
                          "127.0." + (2 + i / 250) + "." + (1 + i % 250) + ":" + INTERNAL,
                          "zone",
                          seeds);
                  hollow.add(h);
                  h.node.start();
                  List<String> ids = new ArrayList<>();
                  List<String> addresses = new ArrayList<>();
                  for (int w = 0; w < workers; w++) {
                    String id = "i-" + Long.toHexString((i * 64L + w) * 0x9e3779b97f4a7c15L >>> 8);
                    String address =
                        "127.0." + (10 + i / 250) + "." + (1 + i % 250) + ":" + (WORKER + w);
                    ids.add(id);
                    addresses.add(address);
                    if (divided) {
                      granted.add(
                          new SampleWorkerServer(eventLoop, id, PeerTransport.address(address)));
                    }
                  }
                  h.beats(ids, addresses, SERVICE, 1);
                  if (claims > 0) {
                    h.claims(claims, repeats);
                  }
                }
                return "";
              } catch (IOException e) {
                return e.toString();
              }
            });
    if (!failed.isEmpty()) {
      throw new IllegalStateException(failed);
    }
  }

  private void change(long base, long revision) {
    StringBuilder t =
        new StringBuilder(
            "{\"revision\":"
                + revision
                + ",\"service_table\":[{\"name\":\""
                + SERVICE
                + "\",\"partitioned\":"
                + divided
                + "}],\"route_table\":[");
    for (int i = 0; i < routes; i++) {
      t.append(i == 0 ? "" : ",")
          .append("{\"name\":\"r")
          .append(i)
          .append("\",\"host_name\":\"h")
          .append(i % 9)
          .append("\",\"path_prefix\":\"/p")
          .append(i)
          .append("x")
          .append(revision)
          .append("/\",\"route_type\":\"idempotent\",\"guard_timer_ms\":1000,\"target_service\":\"")
          .append(SERVICE)
          .append("\"}");
    }
    String text = t.append("]}").toString();
    hollow
        .get(0)
        .node
        .ask(
            new WireRecord("ask")
                .with("op", "write")
                .with("kind", "replace")
                .with("base", base)
                .with("text", CompressedPayload.pack(text)),
            10_000_000,
            1_000_000,
            r -> {});
  }

  /** Milliseconds for each of those that were counted meanwhile, 0 where there were none. */
  private static double mean(long[] before, long[] after, int micros, int count) {
    return (after[micros] - before[micros]) / 1000.0 / Math.max(1, after[count] - before[count]);
  }

  /**
   * Messages both ways, bytes both ways, claims granted, grants and renewals that workers answered,
   * microseconds that the claims took, claims answered from the ledger, microseconds that those
   * took.
   */
  private long[] totals() {
    long[] t = new long[7];
    for (HollowNode h : hollow) {
      t[0] += h.sentMessages + h.heardMessages;
      t[1] += h.sentBytes + h.heardBytes;
      t[2] += h.claimed;
      t[4] += h.claimMicros;
      t[5] += h.repeated;
      t[6] += h.repeatMicros;
    }
    granted.forEach(w -> t[3] += w.served());
    return t;
  }

  private void await(Supplier<Boolean> what, int mostSeconds) throws InterruptedException {
    long until = EventLoop.now() + mostSeconds * 1_000_000L;
    while (!on(what)) {
      if (EventLoop.now() > until) {
        throw new IllegalStateException(
            "not reached in " + mostSeconds + " s at " + hollow.size() + " nodes");
      }
      Thread.sleep(50);
    }
  }

  /** Processor seconds that each core process has used. */
  private double[] cpu() {
    double[] out = new double[processes.size()];
    for (int i = 0; i < out.length; i++) {
      try {
        String stat = Files.readString(Path.of("/proc/" + processes.get(i).pid() + "/stat"));
        String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        out[i] = (Long.parseLong(f[11]) + Long.parseLong(f[12])) / TICKS;
      } catch (IOException e) {
        throw new IllegalStateException("a core node has ended", e);
      }
    }
    return out;
  }

  /** The largest peak of resident memory among the core processes, in megabytes. */
  private double peak() {
    double most = 0;
    for (Process p : processes) {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + p.pid() + "/status"))) {
          if (line.startsWith("VmHWM:")) {
            most = Math.max(most, Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024);
          }
        }
      } catch (IOException e) {
        throw new IllegalStateException("a core node has ended", e);
      }
    }
    return most;
  }
}
