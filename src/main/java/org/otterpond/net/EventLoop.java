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
 * The owner thread of everything in a node: sockets, timers and a queue of commands from other
 * threads.
 */
public final class EventLoop implements Executor, Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  private final Selector selector;
  private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean woken = new AtomicBoolean();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> soon = new ArrayDeque<>();
  private final ByteBuffer scratch = ByteBuffer.allocateDirect(32 * 1024);
  private long timerNumber;
  private volatile boolean stopped;
  private Thread owner;

  /** A timer that can be called off. */
  public static final class Timer implements Comparable<Timer> {
    private final long at;
    private final long number;
    private Runnable task;

    Timer(long at, long number, Runnable task) {
      this.at = at;
      this.number = number;
      this.task = task;
    }

    public void cancel() {
      task = null;
    }

    @Override
    public int compareTo(Timer o) {
      int c = Long.compare(at, o.at);
      return c != 0 ? c : Long.compare(number, o.number);
    }
  }

  public EventLoop() throws IOException {
    selector = Selector.open();
  }

  /** Monotonic time in microseconds. */
  public static long now() {
    return System.nanoTime() / 1000;
  }

  /** A buffer for one read or write on the owner thread. */
  ByteBuffer scratch() {
    scratch.clear();
    return scratch;
  }

  public SelectionKey moor(SelectableChannel channel, int interest, SelectionHandler handler)
      throws IOException {
    channel.configureBlocking(false);
    return channel.register(selector, interest, handler);
  }

  /** Runs on the owner thread, soon; from any thread. */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == owner) {
      soon.add(task);
      return;
    }
    commands.add(task);
    if (woken.compareAndSet(false, true)) {
      selector.wakeup();
    }
  }

  /** On the owner thread only. */
  public Timer after(long micros, Runnable task) {
    Timer t = new Timer(now() + Math.max(0, micros), ++timerNumber, task);
    if (micros <= 0) {
      soon.add(() -> run(t));
    } else {
      timers.add(t);
    }
    return t;
  }

  public void stop() {
    stopped = true;
    selector.wakeup();
  }

  private void run(Timer t) {
    Runnable task = t.task;
    if (task != null) {
      guarded(task);
    }
  }

  private static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event=task_failed", e);
    }
  }

  @Override
  public void run() {
    owner = Thread.currentThread();
    while (!stopped) {
      try {
        turn();
      } catch (IOException | RuntimeException e) {
        LOG.error("event=loop_failed", e);
      } catch (OutOfMemoryError e) {
        LOG.error("event=out_of_memory");
      }
    }
  }

  private void turn() throws IOException {
    if (!soon.isEmpty()) {
      selector.selectNow();
    } else if (timers.isEmpty()) {
      selector.select(1000);
    } else {
      long wait = timers.peek().at - now();
      if (wait <= 0) {
        selector.selectNow();
      } else {
        selector.select(Math.max(1, (wait + 999) / 1000));
      }
    }
    woken.set(false);
    Iterator<SelectionKey> it = selector.selectedKeys().iterator();
    while (it.hasNext()) {
      SelectionKey k = it.next();
      it.remove();
      if (k.isValid()) {
        guarded(() -> ((SelectionHandler) k.attachment()).ready(k));
      }
    }
    Runnable c;
    while ((c = commands.poll()) != null) {
      guarded(c);
    }
    long now = now();
    while (!timers.isEmpty() && timers.peek().at <= now) {
      run(timers.poll());
    }
    int n = soon.size();
    for (int i = 0; i < n; i++) {
      guarded(soon.poll());
    }
  }
}
