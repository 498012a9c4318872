package org.otterpond.storage;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * A journal in segments, whose records can be read back by their places: the number of the segment
 * and the offset in it. Segments go from the oldest on, once all that counts in them stands further
 * on. All methods but the constructor are called on one thread.
 */
public final class SegmentedLog {
  private static final int READ_AT_ONCE = 64 * 1024;
  private static final String PREFIX = "seg-";
  private static final int PLACE_BITS = 32;

  private final DurableDirectory folder;
  private final TreeMap<Long, FileChannel> segments = new TreeMap<>();
  private final TreeMap<Long, Long> sizes = new TreeMap<>();
  private long end;
  private long next = 1;
  private boolean sound = true;

  /** Whether a removed segment may still come back, as the folder was not synced since. */
  private boolean removalOpen;

  public SegmentedLog(Path folder) {
    this(new DurableDirectory(folder));
  }

  SegmentedLog(DurableDirectory folder) {
    this.folder = folder;
  }

  public static long segmentOf(long place) {
    return place >> PLACE_BITS;
  }

  /** The first place of a segment. */
  public static long startOf(long segment) {
    return segment << PLACE_BITS;
  }

  /**
   * Reads everything in its order. A record that is not whole ends its segment: what follows it
   * there was never answered.
   */
  public void open(BiConsumer<WireRecord, Long> each) throws StorageException {
    try {
      folder.make();
      List<Long> numbers = new ArrayList<>();
      try (Stream<Path> files = Files.list(folder.path())) {
        for (Path p : (Iterable<Path>) files::iterator) {
          String n = p.getFileName().toString();
          if (n.startsWith(PREFIX)) {
            numbers.add(Long.parseLong(n.substring(PREFIX.length())));
          }
        }
      }
      numbers.sort(Long::compare);
      for (long n : numbers) {
        FileChannel c =
            FileChannel.open(file(n), StandardOpenOption.READ, StandardOpenOption.WRITE);
        long whole = scan(c, n, each);
        c.truncate(whole);
        segments.put(n, c);
        sizes.put(n, whole);
        end = whole;
        next = n + 1;
      }
      sound = settled();
    } catch (IOException | NumberFormatException e) {
      throw new StorageException("journal not readable in " + folder.path(), e);
    }
  }

  /**
   * Makes what was read last, before anything is written behind it; if that fails a new segment is
   * begun first.
   */
  private boolean settled() {
    try {
      if (!segments.isEmpty()) {
        segments.lastEntry().getValue().force(true);
      }
      folder.sync();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private Path file(long n) {
    return folder.file(PREFIX + n);
  }

  private long scan(FileChannel c, long segment, BiConsumer<WireRecord, Long> each)
      throws IOException {
    long size = c.size();
    long whole = 0;
    try (DataInputStream in =
        new DataInputStream(
            new BufferedInputStream(Files.newInputStream(file(segment)), READ_AT_ONCE))) {
      while (size - whole >= RecordFraming.HEAD) {
        int length = in.readInt();
        int crc = in.readInt();
        if (length <= 0
            || length > RecordFraming.MAX_RECORD
            || length > size - whole - RecordFraming.HEAD) {
          break;
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length || RecordFraming.crcOf(body, 0, length) != crc) {
          break;
        }
        try {
          each.accept(WireRecordCodec.decode(body, 0, length), startOf(segment) + whole);
        } catch (ProtocolException e) {
          break;
        }
        whole += RecordFraming.HEAD + length;
      }
    }
    return whole;
  }

  /** How much the newest segment holds. */
  public long newestSize() {
    return segments.isEmpty() ? Long.MAX_VALUE : end;
  }

  /** Whether appends can count; if not, a new segment has to be begun first. */
  public boolean sound() {
    return sound && !segments.isEmpty();
  }

  public long totalSize() {
    long sum = end;
    for (long s : sizes.headMap(segments.isEmpty() ? 0 : segments.lastKey(), false).values()) {
      sum += s;
    }
    return sum;
  }

  public long oldest() {
    return segments.isEmpty() ? 0 : segments.firstKey();
  }

  public long newest() {
    return segments.isEmpty() ? 0 : segments.lastKey();
  }

  /** Begins a new segment with these records; it counts once it is synced with its name. */
  public void begin(List<WireRecord> head) throws StorageException {
    long n = next++;
    FileChannel c = null;
    try {
      c =
          FileChannel.open(
              file(n),
              StandardOpenOption.CREATE_NEW,
              StandardOpenOption.READ,
              StandardOpenOption.WRITE);
      long at = write(c, 0, frames(head));
      c.force(true);
      folder.sync();
      removalOpen = false;
      segments.put(n, c);
      sizes.put(n, at);
      end = at;
      sound = true;
    } catch (IOException | RuntimeException | Error e) {
      // It may be there after a loss of power, and is read in its order then: nothing goes behind
      // the segment
      // before it any more until another one has been begun.
      sound = false;
      giveUp(c, n);
      throw new StorageException("segment not begun", e);
    }
  }

  private void giveUp(FileChannel c, long n) {
    try {
      if (c != null) {
        c.close();
        folder.remove(file(n));
      }
    } catch (IOException ignored) {
      // It takes its place on the disk until the next start.
    }
  }

  private static List<byte[]> frames(List<WireRecord> records) {
    List<byte[]> out = new ArrayList<>();
    records.forEach(r -> out.add(frame(r)));
    return out;
  }

  /** A record as it stands in a segment. */
  public static byte[] frame(WireRecord f) {
    return RecordFraming.of(f);
  }

  private static long write(FileChannel c, long at, List<byte[]> frames) throws IOException {
    int size = 0;
    for (byte[] f : frames) {
      size += f.length;
    }
    ByteBuffer b = ByteBuffer.allocate(size);
    frames.forEach(b::put);
    return RecordFraming.write(c, b.array(), at);
  }

  /** Appends and syncs once; the places of the records. After a failure nothing of them counts. */
  public long[] append(List<byte[]> frames) throws StorageException {
    if (!sound()) {
      throw new StorageException("no sound segment", null);
    }
    long segment = segments.lastKey();
    FileChannel c = segments.get(segment);
    long[] places = new long[frames.size()];
    long at = end;
    for (int i = 0; i < places.length; i++) {
      places[i] = startOf(segment) + at;
      at += frames.get(i).length;
    }
    try {
      end = write(c, end, frames);
      c.force(false);
      sizes.put(segment, end);
      return places;
    } catch (IOException | RuntimeException | Error e) {
      // What of it stands there may look whole later: nothing is written behind it any more.
      sound = false;
      end = sizes.get(segment);
      try {
        c.truncate(end);
      } catch (IOException ignored) {
        // A record that was never answered may come back after a start; it is a prepared one then.
      }
      throw new StorageException("journal not writable", e);
    }
  }

  /** Reads a record back; null if it is not there. */
  public WireRecord read(long place) {
    FileChannel c = segments.get(segmentOf(place));
    if (c == null) {
      return null;
    }
    long at = place - startOf(segmentOf(place));
    try {
      ByteBuffer head = ByteBuffer.allocate(RecordFraming.HEAD);
      if (c.read(head, at) < RecordFraming.HEAD) {
        return null;
      }
      head.flip();
      int length = head.getInt();
      int crc = head.getInt();
      if (length <= 0 || length > RecordFraming.MAX_RECORD) {
        return null;
      }
      byte[] body = new byte[length];
      return RecordFraming.read(c, body, at + RecordFraming.HEAD)
              && RecordFraming.crcOf(body, 0, length) == crc
          ? WireRecordCodec.decode(body, 0, length)
          : null;
    } catch (IOException | ProtocolException e) {
      return null;
    }
  }

  /**
   * Lets the oldest segment go; never the newest. The removal is made to last before the next one
   * may go: else the older of two might come back without the one that says how what it holds
   * ended.
   */
  public void dropOldest() throws StorageException {
    if (segments.size() < 2) {
      return;
    }
    try {
      syncRemoval();
      long n = segments.firstKey();
      removalOpen = true;
      folder.remove(file(n));
      segments.remove(n).close();
      sizes.remove(n);
      syncRemoval();
    } catch (IOException e) {
      throw new StorageException("segment not removed", e);
    }
  }

  private void syncRemoval() throws IOException {
    if (removalOpen) {
      folder.sync();
      removalOpen = false;
    }
  }
}
