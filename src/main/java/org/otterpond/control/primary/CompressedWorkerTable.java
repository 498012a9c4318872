package org.otterpond.control.primary;

import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.message.WorkerTable;
import org.otterpond.runtime.NodeRuntime;

/**
 * The complete worker table as it is sent to every node that has none, compressed once for all of
 * them. The slow-start times in it are a moment old at most.
 */
final class CompressedWorkerTable {
  private static final long LONGEST_AGE_MICROS = 1_000_000;
  private static final long NO_VERSION = -1;

  private final NodeRuntime runtime;
  private final WorkerRegistry registry;
  private CompressedBytes compressed;
  private long version = NO_VERSION;
  private long compressedAtMicros;

  CompressedWorkerTable(NodeRuntime runtime, WorkerRegistry registry) {
    this.runtime = runtime;
    this.registry = registry;
  }

  /** Forgets the table, whose versions begin anew. */
  void reset() {
    version = NO_VERSION;
  }

  /** Returns the compressed table. */
  CompressedBytes get() {
    long now = runtime.now();
    if (version != registry.version() || now - compressedAtMicros > LONGEST_AGE_MICROS) {
      compressed = new WorkerTable(WorkerReport.of(registry.newerThan(0), now)).compressed();
      version = registry.version();
      compressedAtMicros = now;
    }
    return compressed;
  }
}
