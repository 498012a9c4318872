package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The replicated state machine of the core: the newest configuration, the changes applied before
 * it, the locks of idempotency keys, the workers as last written, and the assignments.
 *
 * <p>Every replica applies the same entries in the same order. Times are microseconds of the local
 * monotonic clock; they decide only when a replica forgets key locks and ended workers. Confined to
 * the owner thread.
 */
public final class ReplicatedState {
  /** Ended workers are kept for this time, so that a late heartbeat does not revive them. */
  private static final long ENDED_WORKER_RETENTION_MICROS = 60_000_000;

  private record StoredWorker(WorkerEntry entry, long storedAtMicros) {
    boolean hasEnded() {
      return entry.worker().state().compareTo(WorkerState.LOST) >= 0;
    }
  }

  private final long keyLockWindowMicros;

  private long revision;
  private CompressedText text;
  private AppliedChanges appliedChanges = new AppliedChanges();
  private final Map<String, StoredWorker> workers = new LinkedHashMap<>();
  private final Assignments assignments = new Assignments();

  /** In the order in which this replica learned of the locks. */
  private final LinkedHashMap<String, IdempotencyKeyLock> keyLocks = new LinkedHashMap<>();

  /** One string for each holder, as many locks share few holders. */
  private final Map<String, String> internedHolders = new HashMap<>();

  /**
   * Creates an empty state.
   *
   * @param keyLockWindowMicros time after which this replica forgets a key lock
   */
  public ReplicatedState(long keyLockWindowMicros) {
    this.keyLockWindowMicros = keyLockWindowMicros;
  }

  /** Returns the revision of the newest configuration; 0 if there is none. */
  public long revision() {
    return revision;
  }

  /** Returns the newest configuration, or null. */
  public CompressedText text() {
    return text;
  }

  /** Returns the encoded entries of the workers as last written, recently ended ones included. */
  public List<WireRecord> workers() {
    return workerEntries().stream().map(WorkerEntry::toWireRecord).toList();
  }

  /** Returns the workers as last written, recently ended ones included. */
  public List<WorkerEntry> workerEntries() {
    return workers.values().stream().map(StoredWorker::entry).toList();
  }

  /** Returns the assignments, which only entries change. */
  public Assignments assignments() {
    return assignments;
  }

  /** Returns the number of locked idempotency keys. */
  public int keyLockCount() {
    return keyLocks.size();
  }

  /** Returns the lock of an idempotency key, or null. */
  public IdempotencyKeyLock keyLock(String key) {
    return keyLocks.get(key);
  }

  /** Returns the changes of the configuration that were applied, to recognize retries of them. */
  public AppliedChanges taken() {
    return appliedChanges;
  }

  /**
   * Applies an encoded entry.
   *
   * @param nowMicros local monotonic time
   * @throws IllegalArgumentException if it is no entry or lacks a required field
   */
  public void apply(WireRecord encoded, long nowMicros) {
    try {
      apply(ReplicatedEntryDecoder.decode(encoded), nowMicros);
    } catch (ProtocolException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /**
   * Applies an entry.
   *
   * @param nowMicros local monotonic time
   */
  public void apply(ReplicatedEntry entry, long nowMicros) {
    if (entry instanceof KeyLockEntry lock) {
      keyLocks.remove(lock.key());
      putLock(lock, nowMicros);
    } else if (entry instanceof KeyReleaseEntry release) {
      releaseLock(release);
    } else if (entry instanceof ConfigurationEntry configuration) {
      replaceConfiguration(configuration);
    } else if (entry instanceof WorkerEntry worker) {
      putWorker(worker, nowMicros);
    } else if (entry instanceof AssignmentEntry assignment) {
      assignments.apply(assignment);
    }
  }

  private void putLock(KeyLockEntry entry, long nowMicros) {
    String holder = entry.holder() == null ? "" : entry.holder();
    String interned = internedHolders.computeIfAbsent(holder, same -> same);
    keyLocks.put(entry.key(), new IdempotencyKeyLock(entry.token(), interned, nowMicros));
  }

  private void releaseLock(KeyReleaseEntry release) {
    IdempotencyKeyLock lock = keyLocks.get(release.key());
    if (lock != null && lock.token().equals(release.token())) {
      keyLocks.remove(release.key());
    }
  }

  private void replaceConfiguration(ConfigurationEntry entry) {
    revision = entry.revision();
    text = entry.text();
    appliedChanges.add(revision, entry.digest());
  }

  private void putWorker(WorkerEntry entry, long nowMicros) {
    workers.put(entry.worker().id(), new StoredWorker(entry, nowMicros));
  }

  /**
   * Forgets key locks whose window has passed and workers that ended long ago.
   *
   * @param nowMicros local monotonic time
   */
  public void expire(long nowMicros) {
    workers
        .values()
        .removeIf(
            worker ->
                worker.hasEnded()
                    && nowMicros - worker.storedAtMicros() > ENDED_WORKER_RETENTION_MICROS);
    Iterator<IdempotencyKeyLock> oldestFirst = keyLocks.values().iterator();
    while (oldestFirst.hasNext()
        && nowMicros - oldestFirst.next().sinceMicros() > keyLockWindowMicros) {
      oldestFirst.remove();
    }
  }

  /** Returns the encoded snapshot of the complete state. */
  public WireRecord snapshot() {
    List<KeyLockEntry> locks = new ArrayList<>(keyLocks.size());
    keyLocks.forEach((key, lock) -> locks.add(new KeyLockEntry(key, lock.token(), lock.holder())));
    return new ReplicatedStateSnapshot(
            revision, text, appliedChanges, workerEntries(), locks, assignments.typedSnapshot())
        .toWireRecord();
  }

  /**
   * Replaces the complete state by an encoded snapshot.
   *
   * @param nowMicros local monotonic time, from which the windows of the key locks run anew
   * @throws IllegalArgumentException if the snapshot is not valid; the state is then unchanged
   */
  public void load(WireRecord encoded, long nowMicros) {
    try {
      load(ReplicatedStateSnapshot.of(encoded), nowMicros);
    } catch (ProtocolException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /**
   * Replaces the complete state by a snapshot, which must not be used afterwards.
   *
   * @param nowMicros local monotonic time, from which the windows of the key locks run anew
   */
  public void load(ReplicatedStateSnapshot snapshot, long nowMicros) {
    revision = snapshot.revision();
    text = snapshot.text();
    appliedChanges = snapshot.appliedChanges();
    workers.clear();
    snapshot.workers().forEach(worker -> putWorker(worker, nowMicros));
    assignments.load(snapshot.assignments());
    keyLocks.clear();
    snapshot.keyLocks().forEach(lock -> putLock(lock, nowMicros));
  }
}
