package org.otterpond.control.epoch;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * Appends records to the log and tracks whether the disk takes them.
 *
 * <p>After a refused write no later write counts as durable until the whole state has been written
 * again: what is answered about a later record may depend on the one that is missing.
 */
final class LogHealth {
  /** A disk that is full or busy needs a moment; the core goes on without this member meanwhile. */
  private static final long PROBE_INTERVAL_MICROS = 500_000;

  private final EpochContext context;
  private final Supplier<List<WireRecord>> wholeState;
  private final Runnable onRefused;
  private boolean failed;
  private boolean refusedSinceProbe;
  private int pendingWrites;
  private long pendingSince;

  /**
   * Creates the tracker.
   *
   * @param wholeState the records that a new log must begin with
   * @param onRefused runs for a refused write that somebody waits for
   */
  LogHealth(EpochContext context, Supplier<List<WireRecord>> wholeState, Runnable onRefused) {
    this.context = context;
    this.wholeState = wholeState;
    this.onRefused = onRefused;
  }

  /** Whether a write was refused and the whole state has not been written since. */
  boolean isFailed() {
    return failed;
  }

  /** Whether the disk has completed no pending write for longer than a write may take. */
  boolean isStalled(long now) {
    return pendingWrites > 0 && now - pendingSince > context.timeouts().diskStallMicros();
  }

  /** Appends a record for which nobody waits; a refusal shows in what is written after it. */
  void append(Encodable entry) {
    append(entry, () -> {}, () -> {});
  }

  /** Appends a record; the action runs once it is durable. A refusal is reported. */
  void append(Encodable entry, Runnable whenDurable) {
    append(entry, whenDurable, onRefused);
  }

  /** Appends a record and runs one of the actions. */
  void append(Encodable entry, Runnable whenDurable, Runnable whenRefused) {
    write(
        entry,
        written -> {
          refusedSinceProbe |= !written;
          if (written && !failed) {
            whenDurable.run();
          } else {
            whenRefused.run();
          }
        });
  }

  /** Appends a batch in its order; the action runs once all of it is durable. */
  void appendBatch(List<WireRecord> entries, Runnable whenDurable) {
    appendBatch(entries, entry -> {}, whenDurable, onRefused);
  }

  /**
   * Applies and appends each entry of a batch in its order, and runs one of the actions for the
   * last.
   */
  void appendBatch(
      List<WireRecord> entries,
      Consumer<WireRecord> apply,
      Runnable whenDurable,
      Runnable whenRefused) {
    for (int i = 0; i < entries.size(); i++) {
      WireRecord entry = entries.get(i);
      apply.accept(entry);
      if (i < entries.size() - 1) {
        append(entry);
      } else {
        append(entry, whenDurable, whenRefused);
      }
    }
  }

  private void write(Encodable entry, Consumer<Boolean> done) {
    if (pendingWrites++ == 0) {
      pendingSince = context.now();
    }
    context
        .runtime()
        .journal(
            entry,
            written -> {
              pendingWrites--;
              pendingSince = context.now();
              done.accept(written);
            });
  }

  /** Notes that the disk refuses writes, and probes it until it takes the whole state. */
  void markFailed() {
    if (!failed) {
      context.runtime().event("event=log_write_refused");
      failed = true;
      scheduleProbe();
    }
  }

  /**
   * Writes the whole state: records after a refused one may be on the disk, so nothing less makes
   * the log complete again.
   */
  private void scheduleProbe() {
    context.runtime().after(PROBE_INTERVAL_MICROS, this::probe);
  }

  private void probe() {
    List<WireRecord> entries = wholeState.get();
    refusedSinceProbe = false;
    boolean[] allWritten = {true};
    for (int i = 0; i < entries.size(); i++) {
      boolean last = i == entries.size() - 1;
      write(
          entries.get(i),
          written -> {
            allWritten[0] &= written;
            if (last) {
              probed(allWritten[0] && !refusedSinceProbe);
            }
          });
    }
  }

  private void probed(boolean complete) {
    if (complete) {
      failed = false;
      context.runtime().event("event=log_recovered");
    } else {
      scheduleProbe();
    }
  }
}
