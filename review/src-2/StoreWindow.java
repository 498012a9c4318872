import java.nio.file.Path;
import java.util.List;

/**
 * Three edge nodes and two stores, of which one may be lost at a time. One store stands still for
 * less than a second. More than sync_time_s after its return the other one loses its disk.
 */
final class StoreWindow {
  private StoreWindow() {}

  public static void main(String[] args) throws Exception {
    int code;
    try (Cluster cluster = new Cluster(Path.of(args[0]), "queue", 1, Messages.BOUNDS)) {
      code = StoreCase.judge(cluster, StoreWindow::holds);
    }
    System.exit(code);
  }

  private static boolean holds(Cluster cluster, boolean trouble) throws Exception {
    Messages messages = new Messages(cluster);
    List<Cluster.Node> stores = StoreCase.begin(cluster, messages, 2);
    List<Cluster.Node> edges = cluster.edges();
    Thread.sleep(8000);
    StoreCase.send(cluster, messages, edges, 60, "before");
    if (trouble) {
      stores.get(1).signal("STOP");
    }
    Thread.sleep(800);
    if (trouble) {
      stores.get(1).signal("CONT");
    }
    double returned = cluster.seconds();
    Thread.sleep(4000);
    StoreCase.send(cluster, messages, edges, 60, "after the return of the second store");
    Thread.sleep(Math.max(0, (long) (1000 * (returned + 6.2 - cluster.seconds()))));
    if (trouble) {
      stores.get(0).kill();
      stores.get(0).wipe();
      Thread.sleep(1200);
      stores.get(0).start(false);
    }
    Thread.sleep(15000);
    return StoreCase.readBack(cluster, messages, edges);
  }
}
