import java.nio.file.Path;
import java.util.List;

/**
 * Three edge nodes and three stores, of which one disk may be lost. Two stores are down for 2.8 s and
 * keep their disks. Meanwhile the third one loses its disk. All come back.
 */
final class StoreOverlap {
  private StoreOverlap() {}

  public static void main(String[] args) throws Exception {
    int code;
    try (Cluster cluster = new Cluster(Path.of(args[0]), "queue", 1, Messages.BOUNDS)) {
      code = StoreCase.judge(cluster, StoreOverlap::holds);
    }
    System.exit(code);
  }

  private static boolean holds(Cluster cluster, boolean trouble) throws Exception {
    Messages messages = new Messages(cluster);
    List<Cluster.Node> stores = StoreCase.begin(cluster, messages, 3);
    List<Cluster.Node> edges = cluster.edges();
    Thread.sleep(4000);
    StoreCase.send(cluster, messages, edges, 90, "before");
    if (trouble) {
      stores.get(1).kill();
      stores.get(2).kill();
      Thread.sleep(2200);
      stores.get(0).kill();
      stores.get(0).wipe();
      Thread.sleep(600);
      stores.get(1).start(false);
      stores.get(2).start(false);
      Thread.sleep(600);
      stores.get(0).start(false);
    }
    Thread.sleep(15000);
    return StoreCase.readBack(cluster, messages, edges);
  }
}
