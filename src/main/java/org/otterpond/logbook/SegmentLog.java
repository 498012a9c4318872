package org.otterpond.logbook;

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
import org.otterpond.signal.Flag;
import org.otterpond.signal.FlagCodec;
import org.otterpond.signal.SignalException;

/**
 * A journal in segments, whose records can be read back by their places: the number of the segment
 * and the offset in it. Segments go from the oldest on, once all that counts in them stands further
 * on. All methods but the constructor are called on one thread.
 */
public final class SegmentLog {
  private static final int READ_AT_ONCE = 64 * 1024;
  private static final String PREFIX = "seg-";
  private static final int PLACE_BITS = 32;

  private final Folder folder;
  private final TreeMap<Long, FileChannel> segments = new TreeMap<>();
  private final TreeMap<Long, Long> sizes = new TreeMap<>();
  private long end;
  private long next = 1;
  private boolean sound = true;

  /** Whether a removed segment may still come back, as the folder was not synced since. */
  private boolean removalOpen;

  public SegmentLog(Path folder) {
    this(new Folder(folder));
  }

  SegmentLog(Folder folder) {
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
  public void open(BiConsumer<Flag, Long> each) throws LogbookException {
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
      throw new LogbookException("journal not readable in " + folder.path(), e);
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

  private long scan(FileChannel c, long segment, BiConsumer<Flag, Long> each) throws IOException {
    long size = c.size();
    long whole = 0;
    try (DataInputStream in =
        new DataInputStream(
            new BufferedInputStream(Files.newInputStream(file(segment)), READ_AT_ONCE))) {
      while (size - whole >= Frames.HEAD) {
        int length = in.readInt();
        int crc = in.readInt();
        if (length <= 0 || length > Frames.MAX_RECORD || length > size - whole - Frames.HEAD) {
          break;
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length || Frames.crcOf(body, 0, length) != crc) {
          break;
        }
        try {
          each.accept(FlagCodec.decode(body, 0, length), startOf(segment) + whole);
        } catch (SignalException e) {
          break;
        }
        whole += Frames.HEAD + length;
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
  public void begin(List<Flag> head) throws LogbookException {
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
      throw new LogbookException("segment not begun", e);
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

  private static List<byte[]> frames(List<Flag> records) {
    List<byte[]> out = new ArrayList<>();
    records.forEach(r -> out.add(frame(r)));
    return out;
  }

  /** A record as it stands in a segment. */
  public static byte[] frame(Flag f) {
    return Frames.of(f);
  }

  private static long write(FileChannel c, long at, List<byte[]> frames) throws IOException {
    int size = 0;
    for (byte[] f : frames) {
      size += f.length;
    }
    ByteBuffer b = ByteBuffer.allocate(size);
    frames.forEach(b::put);
    return Frames.write(c, b.array(), at);
  }

  /** Appends and syncs once; the places of the records. After a failure nothing of them counts. */
  public long[] append(List<byte[]> frames) throws LogbookException {
    if (!sound()) {
      throw new LogbookException("no sound segment", null);
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
      throw new LogbookException("journal not writable", e);
    }
  }

  /** Reads a record back; null if it is not there. */
  public Flag read(long place) {
    FileChannel c = segments.get(segmentOf(place));
    if (c == null) {
      return null;
    }
    long at = place - startOf(segmentOf(place));
    try {
      ByteBuffer head = ByteBuffer.allocate(Frames.HEAD);
      if (c.read(head, at) < Frames.HEAD) {
        return null;
      }
      head.flip();
      int length = head.getInt();
      int crc = head.getInt();
      if (length <= 0 || length > Frames.MAX_RECORD) {
        return null;
      }
      byte[] body = new byte[length];
      return Frames.read(c, body, at + Frames.HEAD) && Frames.crcOf(body, 0, length) == crc
          ? FlagCodec.decode(body, 0, length)
          : null;
    } catch (IOException | SignalException e) {
      return null;
    }
  }

  /**
   * Lets the oldest segment go; never the newest. The removal is made to last before the next one
   * may go: else the older of two might come back without the one that says how what it holds
   * ended.
   */
  public void dropOldest() throws LogbookException {
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
      throw new LogbookException("segment not removed", e);
    }
  }

  private void syncRemoval() throws IOException {
    if (removalOpen) {
      folder.sync();
      removalOpen = false;
    }
  }
}
