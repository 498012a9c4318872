package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.WireRecord;

/** A data plane that records what it is given. */
final class TestDataPlane implements DataPlane {
  final List<Long> revisions = new ArrayList<>();
  final List<WorkerInstance> workers = new ArrayList<>();
  final List<WireRecord> assignments = new ArrayList<>();

  @Override
  public void configured(GatewayConfiguration configuration) {
    revisions.add(configuration.revision());
  }

  @Override
  public void worker(WorkerInstance worker) {
    workers.add(worker);
  }

  @Override
  public void fleet(Map<String, Integer> nodes, int rank) {
    // Nothing is routed here.
  }

  @Override
  public void assigned(WireRecord entry) {
    assignments.add(entry);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }
}
