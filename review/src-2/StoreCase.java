import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** What the cases with stores share. */
final class StoreCase {
  private StoreCase() {}

  /** Starts three edge nodes and some stores and waits until messages are accepted. */
  static List<Cluster.Node> begin(Cluster cluster, Messages messages, int storeCount)
      throws Exception {
    for (int i = 1; i <= 3; i++) {
      cluster.edge(i, true);
    }
    for (int i = 1; i <= storeCount; i++) {
      cluster.store(i);
    }
    cluster.startAll();
    cluster.configure("0", Messages.configuration(1, "", Messages.service("inbox")), 25);
    Cluster.Node edge = cluster.edges().get(0);
    if (!Cluster.await(20, x -> messages.send(edge, "/plain/0").startsWith("202"))) {
      throw new Cluster.CannotRun("no message was accepted");
    }
    return cluster.nodes.values().stream().filter(node -> node.store).toList();
  }

  /** Runs a case and returns its exit code. */
  static int judge(Cluster cluster, Case tested) throws Exception {
    int code = 2;
    try {
      code = tested.holds(cluster, !"0".equals(System.getenv("TROUBLE"))) ? 0 : 1;
    } catch (Cluster.CannotRun e) {
      cluster.note("cannot run: " + e.getMessage());
    }
    cluster.note("exit " + code);
    return code;
  }

  /** One case. */
  interface Case {
    boolean holds(Cluster cluster, boolean trouble) throws Exception;
  }

  /** Sends messages at once and notes how they were answered. */
  static void send(
      Cluster cluster, Messages messages, List<Cluster.Node> edges, int count, String when)
      throws Exception {
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    ExecutorService senders = Executors.newFixedThreadPool(10);
    for (int i = 0; i < count; i++) {
      Cluster.Node edge = edges.get(i % edges.size());
      int number = i;
      senders.execute(
          () -> {
            String answer = messages.send(edge, "/plain/" + number);
            answers.merge(answer.split(" ")[0], 1, Integer::sum);
          });
    }
    senders.shutdown();
    senders.awaitTermination(30, TimeUnit.SECONDS);
    cluster.note("sent " + count + " messages " + when + ": " + answers);
  }

  /** Asks for the body of each accepted message for 25 s; returns whether all came back. */
  static boolean readBack(
      Cluster cluster, Messages messages, List<Cluster.Node> edges) throws Exception {
    Map<String, String> missing = new HashMap<>(messages.accepted);
    Map<String, String> last = new HashMap<>();
    long until = System.nanoTime() + 25_000_000_000L;
    while (!missing.isEmpty() && System.nanoTime() < until) {
      ExecutorService askers = Executors.newFixedThreadPool(16);
      Set<String> found = ConcurrentHashMap.newKeySet();
      Map<String, String> seen = new ConcurrentHashMap<>();
      int i = 0;
      for (Map.Entry<String, String> entry : missing.entrySet()) {
        Cluster.Node edge = edges.get(i++ % edges.size());
        askers.execute(
            () -> {
              Http.Message answer = messages.ask(edge, "message-body", entry.getKey());
              seen.put(entry.getKey(), answer == null ? "none" : "" + answer.status());
              if (answer != null
                  && answer.status() == 200
                  && answer.text().equals(entry.getValue())) {
                found.add(entry.getKey());
              }
            });
      }
      askers.shutdown();
      askers.awaitTermination(40, TimeUnit.SECONDS);
      found.forEach(missing::remove);
      last = seen;
      Thread.sleep(500);
    }
    Map<String, Integer> answers = new HashMap<>();
    for (String name : missing.keySet()) {
      answers.merge(last.get(name), 1, Integer::sum);
    }
    cluster.note(
        "accepted "
            + messages.accepted.size()
            + " messages, bodies that did not come back: "
            + missing.size()
            + " "
            + answers);
    int shown = 0;
    for (String name : missing.keySet()) {
      if (shown++ < 10) {
        cluster.note("lost " + name + ": " + messages.accepted.get(name).substring(0, 12));
      }
    }
    return missing.isEmpty();
  }
}
