import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Three edge nodes, three stores and two idle workers. Messages with a delay are accepted; shortly
 * before the delay is over the processes of the stores are killed at once and start again.
 */
final class StoreDelay {
  private static final int DELAY_MILLIS = 40_000;
  private static final int KILL_AFTER_MILLIS = 34_000;
  private static final int END_AFTER_MILLIS = 66_000;
  private static final int COUNT = 30;

  private StoreDelay() {}

  public static void main(String[] args) throws Exception {
    int code;
    try (Cluster cluster = new Cluster(Path.of(args[0]), "queue", 1, Messages.BOUNDS)) {
      code = StoreCase.judge(cluster, StoreDelay::holds);
    }
    System.exit(code);
  }

  private static boolean holds(Cluster cluster, boolean trouble) throws Exception {
    Messages messages = new Messages(cluster);
    List<Cluster.Node> stores = StoreCase.begin(cluster, messages, 3);
    List<Cluster.Node> edges = cluster.edges();
    List<String> controls = edges.stream().map(Cluster.Node::control).toList();
    Map<String, Double> begun = new ConcurrentHashMap<>();
    Worker.Work work =
        request -> {
          begun.putIfAbsent(request.text(), cluster.seconds());
          Thread.sleep(50);
          return "200 done";
        };
    Worker first = new Worker("w-1", "inbox", cluster.ip(201), 8, controls, work);
    Worker second = new Worker("w-2", "inbox", cluster.ip(202), 8, controls, work);
    try (first;
        second) {
      Thread.sleep(3000);
      messages.accepted.clear();
      double sentAt = cluster.seconds();
      for (int i = 0; i < COUNT; i++) {
        messages.send(
            edges.get(i % edges.size()), "/plain/" + i, "X-Otterpond-Not-Before: " + DELAY_MILLIS);
      }
      cluster.note("accepted " + messages.accepted.size() + " messages with a delay of 40 s");
      sleepUntil(cluster, sentAt + KILL_AFTER_MILLIS / 1000.0);
      if (trouble) {
        for (Cluster.Node store : stores) {
          store.kill();
        }
        Thread.sleep(1200);
        for (Cluster.Node store : stores) {
          store.start(false);
        }
      }
      sleepUntil(cluster, sentAt + 53);
      cluster.note("a message without a delay: " + messages.send(edges.get(1), "/plain/now"));
      Thread.sleep(1000);
      sleepUntil(cluster, sentAt + END_AFTER_MILLIS / 1000.0);
      return isNoneForgotten(cluster, messages, edges, begun, sentAt);
    }
  }

  private static void sleepUntil(Cluster cluster, double seconds) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) (1000 * (seconds - cluster.seconds()))));
  }

  /** Returns whether no message is queued whose time has come and that no worker has had. */
  private static boolean isNoneForgotten(
      Cluster cluster,
      Messages messages,
      List<Cluster.Node> edges,
      Map<String, Double> begun,
      double sentAt) {
    int queued = 0;
    double earliest = Double.MAX_VALUE;
    double latest = 0;
    for (Map.Entry<String, String> entry : messages.accepted.entrySet()) {
      Double at = begun.get(entry.getValue());
      if (at != null) {
        earliest = Math.min(earliest, at - sentAt);
        latest = Math.max(latest, at - sentAt);
        continue;
      }
      Http.Message state = messages.ask(edges.get(0), "message", entry.getKey());
      String answer = state == null ? "none" : state.status() + " " + state.text();
      cluster.note("never at a worker: " + entry.getKey() + ", its state: " + answer);
      queued += answer.contains("queued") ? 1 : 0;
    }
    if (latest > 0) {
      cluster.note(
          String.format("begun at a worker from %.1f s to %.1f s after sending", earliest, latest));
    }
    cluster.note("queued though their time came 26 s ago: " + queued);
    return queued == 0;
  }
}
