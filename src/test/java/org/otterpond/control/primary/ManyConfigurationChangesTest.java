package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.storage.WriteAheadLog;

/** The size of the write-ahead log on a small disk after hundreds of configuration changes. */
class ManyConfigurationChangesTest {
  private static final long DISK_BYTES = 64L << 20;

  @TempDir private Path folder;

  private static String configuration(int routes, long revision) {
    Random r = new Random(routes);
    StringBuilder s = new StringBuilder("{\"revision\":" + revision + ",\"route_table\":[");
    for (int i = 0; i < routes; i++) {
      s.append(i == 0 ? "" : ",")
          .append("{\"name\":\"route-")
          .append(i)
          .append("\",\"host\":\"h")
          .append(Integer.toHexString(r.nextInt()))
          .append(".example\",\"path_prefix\":\"/")
          .append(Integer.toHexString(r.nextInt()))
          .append("/\",\"service\":\"svc-")
          .append(r.nextInt(40))
          .append("\",\"idempotent\":")
          .append(r.nextBoolean())
          .append(",\"timeout_ms\":")
          .append(i == revision % routes ? 1 : 1000 + r.nextInt(4000))
          .append(",\"priority\":")
          .append(r.nextInt(4))
          .append(",\"public_access\":false,\"aim_ms\":")
          .append(400 + r.nextInt(900))
          .append("}");
    }
    return s.append("]}").toString();
  }

  private static ReplicatedState stateWithLocks(int locks) {
    ReplicatedState state = new ReplicatedState(60_000_000);
    Random r = new Random(locks);
    for (int i = 0; i < locks; i++) {
      state.apply(
          new WireRecord("claim")
              .with(
                  "key", "acme/" + Long.toHexString(r.nextLong()) + Long.toHexString(r.nextLong()))
              .with("token", Long.toHexString(r.nextLong()))
              .with("holder", "10.0.0.7:7540"),
          0);
    }
    return state;
  }

  /** Old and new log together stay below half of the disk, and the newest change is read back. */
  @ParameterizedTest
  @CsvSource({"50, 1000, 600", "1480, 100000, 600", "21000, 100000, 150"})
  void givenSmallDisk_whenConfigurationChangesHundredsOfTimes_thenLogStaysSmall(
      int routes, int claims, int changes) throws Exception {
    ReplicatedState state = stateWithLocks(claims);
    WriteAheadLog log = new WriteAheadLog(folder);
    log.open();
    log.rotate("disk-1", List.of());
    long rotateAt = WriteAheadLog.rotateAt(log.size(), DISK_BYTES);
    long peak = 0;
    int rotations = 0;
    long text = 0;
    long entry = 0;
    for (long rev = 1; rev <= changes; rev++) {
      String full = configuration(routes, rev);
      WireRecord change =
          CompressedText.put(CompressedText.of(full), new WireRecord("config").with("rev", rev))
              .with("digest", String.format("%064x", rev));
      text = full.length();
      entry = WireRecordCodec.encode(change).length;
      state.apply(change, 0);
      if (log.size() > rotateAt) {
        long before = log.size();
        log.rotate("disk-1", List.of(state.snapshot()));
        peak = Math.max(peak, before + log.size());
        rotateAt = WriteAheadLog.rotateAt(log.size(), DISK_BYTES);
        rotations++;
      } else {
        log.append(List.of(WriteAheadLog.frame(change)));
        peak = Math.max(peak, log.size());
      }
    }
    System.out.println(
        "journal routes="
            + routes
            + " claims="
            + claims
            + " changes="
            + changes
            + " text="
            + text
            + " entry="
            + entry
            + " rotations="
            + rotations
            + " peak="
            + peak
            + " state_plain="
            + WireRecordCodec.encode(state.snapshot()).length
            + " state="
            + WriteAheadLog.frame(state.snapshot()).length);
    assertTrue(peak < DISK_BYTES / 2, "peak of " + peak);
    WriteAheadLog reopened = new WriteAheadLog(folder);
    reopened.open();
    ReplicatedState read = new ReplicatedState(60_000_000);
    reopened.replay(
        record -> {
          if (record.kind().equals("state")) {
            read.load(record, 0);
          } else {
            read.apply(record, 0);
          }
        });
    assertEquals(changes, read.revision());
    assertEquals(configuration(routes, changes), read.text().unpacked());
    assertEquals(rotations > 0 ? claims : 0, read.keyLockCount());
  }

  @ParameterizedTest
  @CsvSource({"0", "1000000", "8000000", "15000000", "25000000"})
  void givenLogThatIsToBeRotated_whenNextLogIsWritten_thenThereIsRoom(long begun) {
    assertTrue(WriteAheadLog.rotateAt(begun, DISK_BYTES) + begun <= DISK_BYTES * 9 / 10);
    assertTrue(WriteAheadLog.rotateAt(begun, DISK_BYTES) > begun);
  }
}
