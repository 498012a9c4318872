import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three edge nodes, three stores and three workers under load. One store at a time stands still for
 * a moment; the next one does more than sync_time_s after it has gone on. Some messages have a delay
 * that outlasts the run: their bodies are asked for at the end.
 */
final class StoreHang {
  private static final int SENDERS = 128;
  private static final int BODY_BYTES = 1000;
  private static final int WORK_MILLIS = 20;
  private static final int SLOTS = 8;
  private static final int KEPT = 90;
  private static final int STOP_MILLIS = 1500;
  private static final int REST_MILLIS = 6_300;

  private StoreHang() {}

  public static void main(String[] args) throws Exception {
    int code;
    try (Cluster cluster = new Cluster(Path.of(args[0]), "queue", 1, Messages.BOUNDS)) {
      code = StoreCase.judge(cluster, StoreHang::holds);
    }
    System.exit(code);
  }

  private static boolean holds(Cluster cluster, boolean trouble) throws Exception {
    Messages kept = new Messages(cluster);
    List<Cluster.Node> stores = StoreCase.begin(cluster, kept, 3);
    List<Cluster.Node> edges = cluster.edges();
    List<String> controls = edges.stream().map(Cluster.Node::control).toList();
    AtomicInteger runs = new AtomicInteger();
    Worker.Work work =
        request -> {
          runs.incrementAndGet();
          Thread.sleep(WORK_MILLIS);
          return "200 done";
        };
    for (int i = 1; i <= 3; i++) {
      new Worker("w-" + i, "inbox", cluster.ip(200 + i), SLOTS, controls, work);
    }
    Thread.sleep(3000);
    kept.accepted.clear();
    for (int i = 0; i < KEPT; i++) {
      kept.send(edges.get(i % 3), "/plain/kept", "X-Otterpond-Not-Before: 300000");
    }
    cluster.note("accepted " + kept.accepted.size() + " messages with a delay of 300 s");
    AtomicBoolean stopped = new AtomicBoolean();
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    for (int i = 0; i < SENDERS; i++) {
      Messages messages = new Messages(cluster);
      messages.bodyBytes = BODY_BYTES;
      Cluster.Node edge = edges.get(i % edges.size());
      Worker.thread(
          () -> {
            while (!stopped.get()) {
              answers.merge(messages.send(edge, "/plain/load").split(" ")[0], 1, Integer::sum);
              messages.accepted.clear();
            }
          });
    }
    Thread.sleep(5000);
    cluster.note("answers so far " + answers + ", runs " + runs);
    for (Cluster.Node store : stores) {
      if (trouble) {
        store.signal("STOP");
      }
      Thread.sleep(STOP_MILLIS);
      if (trouble) {
        store.signal("CONT");
      }
      Thread.sleep(REST_MILLIS);
      cluster.note("answers so far " + answers + ", runs " + runs);
    }
    stopped.set(true);
    Thread.sleep(5000);
    return StoreCase.readBack(cluster, kept, edges);
  }
}
