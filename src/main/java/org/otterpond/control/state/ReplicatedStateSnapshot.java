package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The content of {@link ReplicatedState} at one moment, as it is copied to a backup and written to
 * the write-ahead log.
 *
 * @param revision the revision of the configuration; 0 if there is none yet
 * @param text the configuration; null if there is none yet
 * @param appliedChanges the changes of the configuration that were applied before
 * @param workers the workers as last written
 * @param keyLocks the locks of idempotency keys, oldest first
 * @param assignments the assignments; left out of the encoded form before the first change
 */
public record ReplicatedStateSnapshot(
    long revision,
    CompressedText text,
    AppliedChanges appliedChanges,
    List<WorkerEntry> workers,
    List<KeyLockEntry> keyLocks,
    AssignmentsSnapshot assignments)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "state";

  private static final String REVISION = "rev";
  private static final String APPLIED_CHANGES = "taken";
  private static final String WORKERS = "workers";
  private static final String KEY_LOCKS = "claims";
  private static final String ASSIGNMENTS = "assignments";

  /** Key, token and holder of a lock follow one another in one flat list. */
  private static final int TEXTS_PER_KEY_LOCK = 3;

  /**
   * Reads a snapshot.
   *
   * @throws ProtocolException if the revision is missing or a nested entry is not valid
   */
  public static ReplicatedStateSnapshot of(WireRecord encoded) throws ProtocolException {
    List<WorkerEntry> workers = new ArrayList<>();
    for (WireRecord worker : encoded.records(WORKERS)) {
      workers.add(WorkerEntry.of(worker));
    }
    AppliedChanges appliedChanges = new AppliedChanges();
    appliedChanges.load(encoded.bytes(APPLIED_CHANGES));
    return new ReplicatedStateSnapshot(
        encoded.requiredNumber(REVISION),
        CompressedText.of(encoded),
        appliedChanges,
        workers,
        keyLocks(encoded.list(KEY_LOCKS)),
        encoded.has(ASSIGNMENTS)
            ? AssignmentsSnapshot.of(encoded.requiredNested(ASSIGNMENTS))
            : AssignmentsSnapshot.EMPTY);
  }

  private static List<KeyLockEntry> keyLocks(List<Object> texts) throws ProtocolException {
    List<KeyLockEntry> locks = new ArrayList<>(texts.size() / TEXTS_PER_KEY_LOCK);
    for (int i = 0; i + TEXTS_PER_KEY_LOCK <= texts.size(); i += TEXTS_PER_KEY_LOCK) {
      locks.add(new KeyLockEntry(text(texts, i), text(texts, i + 1), text(texts, i + 2)));
    }
    return locks;
  }

  private static String text(List<Object> texts, int index) throws ProtocolException {
    if (texts.get(index) instanceof String text) {
      return text;
    }
    throw new ProtocolException(
        "kind " + KIND + ": element " + index + " of the field " + KEY_LOCKS + " is no text");
  }

  @Override
  public WireRecord toWireRecord() {
    List<Object> texts = new ArrayList<>(keyLocks.size() * TEXTS_PER_KEY_LOCK);
    for (KeyLockEntry lock : keyLocks) {
      texts.add(lock.key());
      texts.add(lock.token());
      texts.add(lock.holder());
    }
    boolean assigned = assignments.number() != 0;
    return CompressedText.put(text, new WireRecord(KIND).with(REVISION, revision))
        .with(APPLIED_CHANGES, appliedChanges.pack())
        .withRecords(WORKERS, workers.stream().map(WorkerEntry::toWireRecord).toList())
        .with(KEY_LOCKS, texts)
        .with(ASSIGNMENTS, assigned ? assignments.toWireRecord() : null);
  }
}
