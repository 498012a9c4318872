package org.otterpond.sim;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.chart.Configuration;
import org.otterpond.harbour.Shore;
import org.otterpond.harbour.Vessel;
import org.otterpond.keys.KeeperHost;
import org.otterpond.replica.GroupView;
import org.otterpond.signal.Flag;

/** What one life of a simulated node is told, kept for those who look at it. */
final class SimShore implements Shore {
  private final SimNode node;
  private final Checker checker;
  private final long life;
  private final Consumer<Runnable> perform;

  SimShore(SimNode node, Checker checker, long life, Consumer<Runnable> perform) {
    this.node = node;
    this.checker = checker;
    this.life = life;
    this.perform = perform;
  }

  @Override
  public void configured(Configuration c) {
    checker.inForce(node.address, life, c.revision());
    node.configuration = c;
    node.onConfigured.accept(c);
  }

  @Override
  public void worker(Vessel v) {
    node.workers.put(v.id(), v);
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // Only the data path uses it.
  }

  @Override
  public void assigned(Flag entry) {
    node.ranges.take(entry);
    if (entry.text("key").startsWith("partition:")) {
      GroupView v = GroupView.of(entry);
      node.partitions.put(v.group(), v);
    }
    if (node.depot != null) {
      node.depot.assigned(entry);
    }
  }

  @Override
  public void message(String from, Flag f, Consumer<Flag> reply) {
    if (node.depot != null) {
      node.depot.message(from, f, reply);
    }
  }

  @Override
  public void peerLost(String other) {
    if (node.depot != null) {
      node.depot.peerLost(other);
    }
  }

  @Override
  public void callWorker(
      String to,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<KeeperHost.Answer> answer) {
    node.keyWorkers.call(
        node.address, to, path, body, timeout, a -> perform.accept(() -> answer.accept(a)));
  }

  @Override
  public List<Flag> heat() {
    return node.keyWorkers == null ? List.of() : node.keyWorkers.heat(node.address);
  }

  @Override
  public Flag outcome(String key, String token) {
    return null;
  }
}
