package org.otterpond.soak;

import java.io.IOException;
import java.util.List;

/** Carries disturbances out, each on a thread of its own, and records when they took place. */
final class Disturber {
  private static final long RESTART_PAUSE_MILLIS = 300;
  private static final long END_MILLIS = (NodeProcess.GRACE_SECONDS + 2) * 1_000L;

  private final List<NodeProcess> nodes;
  private final List<SoakWorker> workers;
  private final List<SoakClient> clients;
  private final SoakOperator operator;
  private final SoakRecords records;

  Disturber(
      List<NodeProcess> nodes,
      List<SoakWorker> workers,
      List<SoakClient> clients,
      SoakOperator operator,
      SoakRecords records) {
    this.nodes = nodes;
    this.workers = workers;
    this.clients = clients;
    this.operator = operator;
    this.records = records;
  }

  /** Begins a disturbance; the thread ends with it. */
  Thread begin(Disturbance disturbance) {
    return SoakThreads.start("disturber", () -> carryOut(disturbance));
  }

  private void carryOut(Disturbance disturbance) {
    boolean ofWorker = disturbance.kind().name().startsWith("WORKER");
    int target = disturbance.target() % (ofWorker ? workers.size() : nodes.size());
    SoakRecords.Interval begun =
        new SoakRecords.Interval(disturbance.kind(), target, System.nanoTime(), SoakRecords.NEVER);
    records.disturbances.add(begun);
    try {
      carryOut(disturbance, nodes.get(disturbance.target() % nodes.size()));
    } catch (IOException e) {
      records.findings.add(disturbance + " could not be carried out: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    records.disturbances.remove(begun);
    records.disturbances.add(
        new SoakRecords.Interval(begun.kind(), target, begun.fromNanos(), System.nanoTime()));
  }

  private void carryOut(Disturbance disturbance, NodeProcess node)
      throws IOException, InterruptedException {
    SoakWorker worker = workers.get(disturbance.target() % workers.size());
    int millis = disturbance.forMillis();
    switch (disturbance.kind()) {
      case NODE_KILL -> kill(node, millis);
      case NODE_SUSPEND -> suspend(node, millis);
      case NODE_SHUTDOWN -> shutDown(node);
      case NODE_RELOAD -> node.reload();
      case CONFIGURATION_CHANGE -> changeConfiguration();
      case WORKER_CRASH -> crash(worker, millis);
      case WORKER_SLOW -> slow(worker, millis);
      case WORKER_CUT -> cut(worker, millis);
      case CONNECTIONS_RESET -> worker.relay().resetConnections();
      case RESPONSES_LOST -> loseResponses(worker, millis);
      case CLIENTS_LEAVE -> clients.forEach(SoakClient::leaveNow);
      default -> throw new IllegalArgumentException("unknown disturbance " + disturbance);
    }
  }

  private void changeConfiguration() {
    synchronized (operator) {
      operator.change();
    }
  }

  /** One life-cycle change of a node at a time: what comes meanwhile waits. */
  private static void kill(NodeProcess node, int millis) throws IOException, InterruptedException {
    synchronized (node) {
      node.kill();
      node.awaitEnd(END_MILLIS);
      Thread.sleep(millis);
      node.start(false);
    }
  }

  private static void suspend(NodeProcess node, int millis)
      throws IOException, InterruptedException {
    node.signal("STOP");
    Thread.sleep(millis);
    node.signal("CONT");
  }

  private void shutDown(NodeProcess node) throws IOException, InterruptedException {
    synchronized (node) {
      node.signal("TERM");
      if (!node.awaitEnd(END_MILLIS)) {
        records.findings.add(node.address() + " did not end within its grace period");
        node.kill();
        node.awaitEnd(END_MILLIS);
      }
      Thread.sleep(RESTART_PAUSE_MILLIS);
      node.start(false);
    }
  }

  private static void crash(SoakWorker worker, int millis)
      throws IOException, InterruptedException {
    synchronized (worker) {
      worker.crash();
      Thread.sleep(millis);
      worker.restart();
    }
  }

  private static void slow(SoakWorker worker, int millis) throws InterruptedException {
    worker.slowDown(millis);
    Thread.sleep(millis);
    worker.speedUp();
  }

  private static void cut(SoakWorker worker, int millis) throws InterruptedException {
    worker.relay().setCut(true);
    Thread.sleep(millis);
    worker.relay().setCut(false);
  }

  private static void loseResponses(SoakWorker worker, int millis) throws InterruptedException {
    worker.relay().setLosingResponses(true);
    Thread.sleep(millis);
    worker.relay().setLosingResponses(false);
  }
}
