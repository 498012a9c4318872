package org.otterpond.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The owner thread of everything in a node: it serves sockets, timers and tasks from other threads.
 * The thread that calls {@link #run} becomes the owner thread.
 */
public final class EventLoop implements Executor, Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final int IO_BUFFER_BYTES = 32 * 1024;
  private static final long MAX_SELECT_MILLIS = 1_000;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private final Selector selector;
  private final Queue<Runnable> remoteTasks = new ConcurrentLinkedQueue<>();

  /** Whether the selector has been woken up for the tasks in the queue. */
  private final AtomicBoolean wakeupSent = new AtomicBoolean();

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> localTasks = new ArrayDeque<>();
  private final ByteBuffer ioBuffer = ByteBuffer.allocateDirect(IO_BUFFER_BYTES);
  private long timersCreated;
  private volatile boolean stopped;

  /** Set by the owner thread itself: a thread that does not see it yet is another one. */
  private Thread owner;

  /** A task that is run once at a time, unless it is cancelled before. */
  public static final class Timer implements Comparable<Timer> {
    private final long dueAtMicros;

    /** Timers that are due at the same time run in the order of their creation. */
    private final long number;

    private Runnable task;

    Timer(long dueAtMicros, long number, Runnable task) {
      this.dueAtMicros = dueAtMicros;
      this.number = number;
      this.task = task;
    }

    /** Cancels the timer; on the owner thread only. */
    public void cancel() {
      task = null;
    }

    /** Whether the task is still to be run. */
    public boolean isPending() {
      return task != null;
    }

    private void run() {
      if (task != null) {
        Runnable due = task;
        task = null;
        runLoggingFailure(due);
      }
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Long.compare(dueAtMicros, other.dueAtMicros);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /**
   * Creates an event loop that does not run yet.
   *
   * @throws IOException if the operating system has no selector left
   */
  public EventLoop() throws IOException {
    selector = Selector.open();
  }

  /** Returns a monotonic time in microseconds. */
  public static long now() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  /** Returns the empty buffer for one read or write on the owner thread. */
  ByteBuffer ioBuffer() {
    ioBuffer.clear();
    return ioBuffer;
  }

  /** Registers a channel, which becomes non-blocking, with its first interest set. */
  SelectionKey register(SelectableChannel channel, int interestOps, SelectionHandler handler)
      throws IOException {
    channel.configureBlocking(false);
    return channel.register(selector, interestOps, handler);
  }

  /** Runs a task on the owner thread, after the current one; may be called on any thread. */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == owner) {
      localTasks.add(task);
      return;
    }
    remoteTasks.add(task);
    if (wakeupSent.compareAndSet(false, true)) {
      selector.wakeup();
    }
  }

  /**
   * Runs a task after a delay; called on the owner thread, or before it runs.
   *
   * @param micros the delay in microseconds; without one the task runs in the next round
   */
  public Timer after(long micros, Runnable task) {
    timersCreated++;
    Timer timer = new Timer(now() + Math.max(0, micros), timersCreated, task);
    if (micros <= 0) {
      localTasks.add(timer::run);
    } else {
      timers.add(timer);
    }
    return timer;
  }

  /** Ends the loop after the round that it is in; may be called on any thread. */
  public void stop() {
    stopped = true;
    selector.wakeup();
  }

  private static void runLoggingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event=task_failed", e);
    }
  }

  /** Serves until {@link #stop} is called. */
  @Override
  public void run() {
    owner = Thread.currentThread();
    while (!stopped) {
      try {
        runOnce();
      } catch (IOException | RuntimeException e) {
        LOG.error("event=loop_failed", e);
      } catch (OutOfMemoryError e) {
        LOG.error("event=out_of_memory");
      }
    }
  }

  private void runOnce() throws IOException {
    select();
    wakeupSent.set(false);
    handleReadyChannels();
    runRemoteTasks();
    runDueTimers();
    runLocalTasks();
  }

  private void select() throws IOException {
    if (!localTasks.isEmpty()) {
      selector.selectNow();
      return;
    }
    if (timers.isEmpty()) {
      selector.select(MAX_SELECT_MILLIS);
      return;
    }
    long waitMicros = timers.peek().dueAtMicros - now();
    if (waitMicros <= 0) {
      selector.selectNow();
    } else {
      long roundedUp = (waitMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
      selector.select(Math.max(1, roundedUp));
    }
  }

  private void handleReadyChannels() {
    Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
    while (ready.hasNext()) {
      SelectionKey key = ready.next();
      ready.remove();
      if (key.isValid()) {
        handleReadyChannel(key);
      }
    }
  }

  private static void handleReadyChannel(SelectionKey key) {
    try {
      ((SelectionHandler) key.attachment()).ready(key);
    } catch (RuntimeException e) {
      LOG.error("event=task_failed", e);
    }
  }

  private void runRemoteTasks() {
    Runnable task = remoteTasks.poll();
    while (task != null) {
      runLoggingFailure(task);
      task = remoteTasks.poll();
    }
  }

  private void runDueTimers() {
    long now = now();
    while (!timers.isEmpty() && timers.peek().dueAtMicros <= now) {
      timers.poll().run();
    }
  }

  /** Runs the tasks that are there now; those that they add run in the next round. */
  private void runLocalTasks() {
    int count = localTasks.size();
    for (int i = 0; i < count; i++) {
      runLoggingFailure(localTasks.poll());
    }
  }
}
