package org.otterpond.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The runtime of one incarnation of a simulated process, from its start until it is killed. While
 * the process is frozen its tasks are queued; when it resumes they run as in a process that finds
 * full sockets and expired timers.
 */
final class SimulatedRuntime implements NodeRuntime {
  private static final int MAX_TASKS_PER_LOOP = 8;
  private static final long LOOP_MICROS = 20;
  private static final int BACKGROUND_WORK_SPREAD_MICROS = 20_000;

  private final SimulatedWorld world;
  private final SimulatedNode machine;
  private final InvariantChecker checker;
  private final PausedTasks pausedTasks = new PausedTasks();

  /** Tasks that the resuming process has deferred to the end of its loop; null outside a loop. */
  private Deque<Runnable> deferred;

  private boolean alive = true;
  private boolean frozen;

  SimulatedRuntime(SimulatedWorld world, SimulatedNode machine, InvariantChecker checker) {
    this.world = world;
    this.machine = machine;
    this.checker = checker;
  }

  /** Ends the process: neither queued nor later tasks run. */
  void kill() {
    alive = false;
    frozen = false;
    pausedTasks.clear();
  }

  boolean isFrozen() {
    return frozen;
  }

  /** Stops the process without ending it, as a long garbage collection or SIGSTOP does. */
  void freeze() {
    frozen = true;
  }

  /** Resumes the process, which runs its queued tasks in the order of their arrival. */
  void resume() {
    frozen = false;
    pausedTasks.takeInOrder().forEach(Runnable::run);
  }

  /**
   * Resumes the process in loops of a few tasks each. Tasks that it defers, messages to itself
   * among them, run at the end of each loop.
   *
   * @param socketsFirst whether it reads its sockets before its timers, or the other way round
   */
  void resume(boolean socketsFirst, Random random) {
    runLoop(new ArrayDeque<>(pausedTasks.takeByConnection(socketsFirst, random)), random);
  }

  private void runLoop(Deque<Runnable> queue, Random random) {
    if (!alive) {
      return;
    }
    frozen = false;
    deferred = new ArrayDeque<>();
    for (int left = 1 + random.nextInt(MAX_TASKS_PER_LOOP); left > 0 && !queue.isEmpty(); left--) {
      queue.poll().run();
    }
    for (int left = deferred.size(); left > 0; left--) {
      deferred.poll().run();
    }
    queue.addAll(deferred);
    deferred = null;
    if (queue.isEmpty()) {
      return;
    }
    // What arrives between two loops waits behind the queue.
    frozen = true;
    world.schedule(
        LOOP_MICROS,
        () -> {
          queue.addAll(pausedTasks.takeInOrder());
          runLoop(queue, random);
        });
  }

  /** Runs a task of the process's own on its owner thread. */
  void perform(Runnable task) {
    perform(null, task);
  }

  /**
   * Runs a task on the owner thread of the process, later if it is frozen, never if it has ended.
   *
   * @param connection the connection that brought the task, or null for the process's own
   */
  void perform(String connection, Runnable task) {
    if (!alive) {
      return;
    }
    if (frozen) {
      pausedTasks.add(connection, () -> perform(connection, task));
      return;
    }
    task.run();
    if (alive) {
      machine.reportPrimary(checker);
    }
  }

  @Override
  public long now() {
    return world.now();
  }

  @Override
  public long timeOfDayMicros() {
    return world.now() + machine.clockErrorMicros;
  }

  @Override
  public void send(String to, WireRecord message) {
    if (machine.localDelivery && to.equals(machine.address)) {
      after(0, () -> machine.agent.onMessage(machine.address, message));
    } else {
      world.network.send(machine.address, to, message);
    }
  }

  @Override
  public void journal(WireRecord record, Consumer<Boolean> done) {
    machine.disk.append(record, durable -> perform(() -> done.accept(durable)));
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    if (delayMicros == 0 && deferred != null) {
      deferred.add(() -> perform(task));
    } else {
      world.schedule(delayMicros, () -> perform(task));
    }
  }

  @Override
  public void runOffThread(Runnable work, Runnable then) {
    work.run();
    after(machine.backgroundWorkMicros + world.random.nextInt(BACKGROUND_WORK_SPREAD_MICROS), then);
  }

  @Override
  public long random(long bound) {
    return Math.floorMod(world.random.nextLong(), bound);
  }

  @Override
  public void event(String line) {
    world.logEvent(machine.address, line);
  }
}
