package org.otterpond.soak;

/** The threads of a soak, none of which keeps the process running. */
final class SoakThreads {
  private static final long STACK_BYTES = 256 * 1024;

  private SoakThreads() {}

  /** Starts a daemon thread. */
  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(null, task, "soak-" + name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
