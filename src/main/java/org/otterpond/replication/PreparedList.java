package org.otterpond.replication;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * The prepared list of one replica and its committed point (PacificA, section "Primary/Backup Data
 * Replication").
 *
 * <p>Entries are kept in memory until they are committed. An entry counts as prepared on this
 * replica once its log record is durable.
 */
final class PreparedList {
  private static final long NO_POSITION = -1;

  private final int group;
  private final ReplicaGroupRuntime runtime;
  private final StateMachine stateMachine;
  private final TreeMap<Long, PendingEntry> pending = new TreeMap<>();
  private long lastSerial;
  private long durableSerial;
  private long committedPoint;

  /**
   * Raised whenever entries are removed, so that the log's answer for a removed entry is not taken
   * for that of its successor.
   */
  private long generation;

  /** Whether the list starts at the committed point of a segment header. */
  private boolean startedAtHeader;

  /** Whether the replay has found the beginning of the list: an entry, a header or a transfer. */
  private boolean replayAnchored;

  /**
   * Serial number before the first entry of a log whose older segments were removed, until a header
   * shows that everything up to it is committed; 0 if there is none.
   */
  private long unprovenSerial;

  /** Whether an entry was missing between two others in the replay. */
  private boolean gap;

  /** Whether the list is that of a transfer which refreshes the state before it. */
  private boolean refreshing;

  /** The largest serial number before a refresh began; the list continues after it if given up. */
  private long lastSerialBeforeRefresh;

  private static final class PendingEntry {
    private final WireRecord entry;
    private final long writtenAtMicros;
    private long logPosition;

    PendingEntry(WireRecord entry, long writtenAtMicros, long logPosition) {
      this.entry = entry;
      this.writtenAtMicros = writtenAtMicros;
      this.logPosition = logPosition;
    }

    WireRecord withAge(long nowMicros) {
      return new AgedEntry(entry, nowMicros - writtenAtMicros).toWireRecord();
    }

    boolean contains(WireRecord other) {
      return Arrays.equals(WireRecordCodec.encode(entry), WireRecordCodec.encode(other));
    }
  }

  PreparedList(int group, ReplicaGroupRuntime runtime, StateMachine stateMachine) {
    this.group = group;
    this.runtime = runtime;
    this.stateMachine = stateMachine;
  }

  /** Returns the serial number of the last entry. */
  long lastSerial() {
    return lastSerial;
  }

  /** Returns the serial number up to which all entries are durable on this node. */
  long durableSerial() {
    return durableSerial;
  }

  /** Returns the serial number of the last committed entry. */
  long committedPoint() {
    return committedPoint;
  }

  /**
   * Returns the uncommitted entries after a serial number, at most {@code limit} of them, each with
   * its age.
   */
  List<WireRecord> entriesAfter(long serial, int limit) {
    long nowMicros = runtime.now();
    return pending.tailMap(serial, false).values().stream()
        .limit(limit)
        .map(pendingEntry -> pendingEntry.withAge(nowMicros))
        .toList();
  }

  /**
   * Adds the next entry.
   *
   * @param encoded the entry, which carries its age if another node wrote it before
   * @param version version of the configuration under which it is prepared
   * @param onDurable run once the entry is durable, unless it was removed meanwhile
   * @param onFailed run if the write failed
   */
  void insert(WireRecord encoded, long version, Runnable onDurable, Runnable onFailed) {
    long serial = ++lastSerial;
    AgedEntry aged = AgedEntry.of(encoded);
    PendingEntry added =
        new PendingEntry(aged.entry(), runtime.now() - aged.ageMicros(), NO_POSITION);
    pending.put(serial, added);
    long insertedIn = generation;
    runtime.journal(
        new GroupLogRecord.EntryPrepared(group, version, serial, committedPoint, encoded),
        position -> {
          if (position < 0) {
            onFailed.run();
            return;
          }
          added.logPosition = position;
          boolean stillListed = serial <= lastSerial && pending.get(serial) == added;
          if (insertedIn == generation || stillListed) {
            durableSerial = Math.max(durableSerial, serial);
            onDurable.run();
          }
        });
  }

  /**
   * Moves the committed point, at most to the last durable entry, and applies the entries that it
   * passes.
   */
  void commit(long point) {
    long target = Math.min(point, durableSerial);
    while (committedPoint < target) {
      PendingEntry next = pending.remove(committedPoint + 1);
      committedPoint++;
      if (next != null) {
        stateMachine.apply(next.entry, committedPoint, next.logPosition, next.writtenAtMicros);
      }
    }
  }

  /** Applies the durable entries after the committed point, whether or not the group did. */
  private void applyPossiblyCommitted() {
    pending
        .headMap(durableSerial, true)
        .forEach(
            (serial, durable) ->
                stateMachine.applyPossiblyCommitted(
                    durable.entry, serial, durable.logPosition, durable.writtenAtMicros));
  }

  /** Removes all entries above a serial number. */
  void truncate(long serial) {
    if (lastSerial <= serial) {
      return;
    }
    generation++;
    pending.tailMap(serial, false).clear();
    lastSerial = serial;
    durableSerial = Math.min(durableSerial, serial);
    runtime.journal(new GroupLogRecord.ListTruncated(group, serial), position -> {});
  }

  /**
   * Removes all entries and continues after a committed point, with a state that does not depend on
   * what was in the list before.
   */
  void reset(long point) {
    continueAfter(point);
    finishRefresh();
  }

  private void continueAfter(long point) {
    generation++;
    pending.clear();
    lastSerial = point;
    durableSerial = point;
    committedPoint = point;
  }

  /**
   * Applies what is durable and continues after the committed point of the transfer that refreshes
   * the state. Unlike after a reset, a gap of the list before still counts.
   */
  void beginRefresh(long point) {
    applyPossiblyCommitted();
    lastSerialBeforeRefresh = Math.max(lastSerialBeforeRefresh, lastSerial);
    refreshing = true;
    startedAtHeader = false;
    continueAfter(point);
  }

  /** Ends a refresh: the state does not depend on what was in the list before. */
  void finishRefresh() {
    endRefresh();
    replayAnchored = true;
    unprovenSerial = 0;
    gap = false;
  }

  /** Gives up a refresh: applies what is durable and uses no serial number again. */
  void cancelRefresh() {
    applyPossiblyCommitted();
    continueAfter(Math.max(lastSerial, lastSerialBeforeRefresh));
    endRefresh();
  }

  private void endRefresh() {
    refreshing = false;
    lastSerialBeforeRefresh = 0;
  }

  /**
   * Writes the uncommitted entries again, so that the beginning of the log can be removed.
   *
   * @param done notified of the beginning and the end of each write
   */
  void rewriteUncommitted(long version, RewriteListener done) {
    for (Map.Entry<Long, PendingEntry> listed : new ArrayList<>(pending.entrySet())) {
      PendingEntry uncommitted = listed.getValue();
      done.begun();
      runtime.journal(
          new GroupLogRecord.EntryPrepared(
              group, version, listed.getKey(), committedPoint, uncommitted.withAge(runtime.now())),
          position -> {
            if (position >= 0) {
              uncommitted.logPosition = position;
            }
            done.ended(position >= 0);
          });
    }
  }

  /** Replays the beginning of the group: every entry follows. */
  void replayBeginning() {
    replayAnchored = true;
  }

  /**
   * Replays an entry from the log.
   *
   * @param writtenAtMicros when it was written, on the clock of this process
   */
  void replayEntry(GroupLogRecord.EntryPrepared prepared, long logPosition, long writtenAtMicros) {
    long serial = prepared.serial();
    if (serial <= committedPoint) {
      return;
    }
    AgedEntry aged = AgedEntry.of(prepared.entry());
    PendingEntry listed = pending.get(serial);
    if (listed != null && listed.contains(aged.entry())) {
      // It was rewritten by the cleaning, which a loss of power may have ended: what follows
      // counts.
      listed.logPosition = logPosition;
      commit(prepared.committedPoint());
      return;
    }
    if (serial > lastSerial + 1) {
      replayMissingEntries(serial);
    }
    replayAnchored = true;
    startedAtHeader = false;
    pending.tailMap(serial, true).clear();
    pending.put(
        serial, new PendingEntry(aged.entry(), writtenAtMicros - aged.ageMicros(), logPosition));
    lastSerial = serial;
    durableSerial = serial;
    commit(prepared.committedPoint());
  }

  private void replayMissingEntries(long nextSerial) {
    if (startedAtHeader || refreshing) {
      // After a header the entries between were committed before their segment was removed. In a
      // refresh their write was refused: it never ends, and the state before it is not affected.
      continueAfter(nextSerial - 1);
    } else if (replayAnchored) {
      gap = true;
    } else {
      // The segment began while this node was a candidate, and the older ones were removed.
      unprovenSerial = nextSerial - 1;
    }
  }

  /**
   * Replays the committed point of a segment header. A header is written by a complete member only,
   * so it also shows that the entries before the beginning of the log are committed and that their
   * effects were written again when the older segments were removed.
   */
  void replayHeader(long point) {
    if (point >= unprovenSerial) {
      unprovenSerial = 0;
    }
    if (lastSerial < point) {
      continueAfter(point);
      startedAtHeader = true;
    }
    replayAnchored = true;
  }

  /** Replays a truncation. */
  void replayTruncation(long serial) {
    pending.tailMap(serial, false).clear();
    lastSerial = Math.min(lastSerial, Math.max(serial, committedPoint));
    durableSerial = lastSerial;
  }

  /**
   * Returns whether an entry was missing in the replay, as after a refused write, or no header
   * covers the beginning of the log.
   */
  boolean hasGap() {
    return gap || unprovenSerial > 0;
  }
}
