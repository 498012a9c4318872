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
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * An append-only journal of framed records (length, CRC-32C, CBOR), in numbered files. Reading ends
 * at the first frame that is not whole, which after a loss of power can only be one whose sync was
 * never answered. A file begins with everything that came before it, so one whole file is enough.
 */
public final class WriteAheadLog {
  private static final String PREFIX = "log-";
  private static final int READ_AT_ONCE = 64 * 1024;
  private static final long ROTATE_AT = 4L << 20;
  private static final long ROOM = 1L << 20;

  private final DurableDirectory folder;
  private FileChannel channel;
  private Path opened;
  private long number;
  private long end;
  private boolean rotated = true;

  public WriteAheadLog(Path folder) {
    this(new DurableDirectory(folder));
  }

  WriteAheadLog(DurableDirectory folder) {
    this.folder = folder;
  }

  /**
   * Opens the journal: its first record, which has the disk's identity; null means a blank disk.
   */
  public WireRecord open() throws StorageException {
    try {
      folder.make();
      List<Long> numbers = numbers();
      for (int i = numbers.size() - 1; i >= 0; i--) {
        Path file = file(numbers.get(i));
        WireRecord base = look(file);
        if (base != null) {
          number = numbers.get(numbers.size() - 1);
          channel = FileChannel.open(file, StandardOpenOption.WRITE);
          channel.truncate(end);
          opened = file;
          // A newer file that is no journal must never come to look like one again.
          rotated = i == numbers.size() - 1 && settled();
          return base;
        }
      }
      number = numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1);
      return null;
    } catch (IOException e) {
      throw new StorageException("journal not readable in " + folder.path(), e);
    }
  }

  /**
   * Gives what stood behind the first record when the journal was opened, one record in memory at a
   * time.
   */
  public void replay(Consumer<WireRecord> each) throws StorageException {
    if (opened == null) {
      return;
    }
    try (DataInputStream in = stream(opened)) {
      long left = end;
      boolean first = true;
      for (byte[] body = next(in, left); body != null; body = next(in, left)) {
        left -= RecordFraming.HEAD + body.length;
        if (!first) {
          each.accept(RecordFraming.read(body));
        }
        first = false;
      }
      opened = null;
    } catch (IOException | ProtocolException e) {
      throw new StorageException("journal not readable in " + folder.path(), e);
    }
  }

  private static DataInputStream stream(Path file) throws IOException {
    return new DataInputStream(new BufferedInputStream(Files.newInputStream(file), READ_AT_ONCE));
  }

  /** The next whole record of what is left; null if there is none. */
  private static byte[] next(DataInputStream in, long left) throws IOException {
    if (left < RecordFraming.HEAD) {
      return null;
    }
    int length = in.readInt();
    int crc = in.readInt();
    if (length <= 0 || length > RecordFraming.MAX_RECORD || length > left - RecordFraming.HEAD) {
      return null;
    }
    byte[] body = in.readNBytes(length);
    return body.length == length && RecordFraming.crcOf(body, 0, length) == crc ? body : null;
  }

  /**
   * How far the file is whole, and its first record; null if it does not stand for all before it.
   */
  private WireRecord look(Path file) throws IOException {
    WireRecord base = null;
    long records = 0;
    end = 0;
    try (DataInputStream in = stream(file)) {
      long size = Files.size(file);
      for (byte[] body = next(in, size); body != null; body = next(in, size - end)) {
        if (records++ == 0) {
          base = RecordFraming.read(body);
        }
        end += RecordFraming.HEAD + body.length;
      }
    } catch (ProtocolException e) {
      return null;
    }
    return base != null && base.kind().equals("base") && records > base.number("count")
        ? base
        : null;
  }

  /**
   * Makes what was read last, before anything is built on it: the life before may have ended
   * between a write and its sync, or between the removal of a file that a failed rotation left and
   * the sync of the folder. Such a file could come back later, newer than the one that is written
   * to now.
   */
  private boolean settled() {
    try {
      channel.force(true);
      folder.sync();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private List<Long> numbers() throws IOException {
    List<Long> out = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder.path())) {
      for (Path p : (Iterable<Path>) files::iterator) {
        String n = p.getFileName().toString();
        if (n.startsWith(PREFIX)) {
          try {
            out.add(Long.parseLong(n.substring(PREFIX.length())));
          } catch (NumberFormatException e) {
            continue;
          }
        }
      }
    }
    out.sort(Long::compare);
    return out;
  }

  private Path file(long n) {
    return folder.file(PREFIX + n);
  }

  /** A record as it stands in the file. */
  public static byte[] frame(WireRecord f) {
    return RecordFraming.packed(f);
  }

  /** Appends frames and syncs once. After a failure nothing of them counts. */
  public void append(List<byte[]> frames) throws StorageException {
    int size = 0;
    for (byte[] f : frames) {
      size += f.length;
    }
    if (!rotated) {
      throw new StorageException("journal not rotated", null);
    }
    ByteBuffer b = ByteBuffer.allocate(size);
    frames.forEach(b::put);
    try {
      long at = RecordFraming.write(channel, b.array(), end);
      channel.force(false);
      end = at;
    } catch (IOException | RuntimeException | Error e) {
      try {
        channel.truncate(end);
      } catch (IOException ignored) {
        // The next append writes from the same place; what stands there fails its check or is
        // replaced.
      }
      throw new StorageException("journal not writable", e);
    }
  }

  /**
   * Begins a new file that stands for all before it, then lets the older ones go. It counts once it
   * is synced and its folder too: a file that is whole but whose name is lost leaves a blank disk
   * once the older ones are gone.
   */
  public void rotate(String diskId, List<WireRecord> base) throws StorageException {
    long next = ++number;
    Path file = file(next);
    FileChannel fresh = null;
    try {
      fresh =
          FileChannel.open(
              file,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING);
      long at = 0;
      List<WireRecord> all = new ArrayList<>();
      all.add(new WireRecord("base").with("count", base.size()).with("disk", diskId));
      all.addAll(base);
      for (WireRecord f : all) {
        at = RecordFraming.write(fresh, frame(f), at);
      }
      fresh.force(true);
      folder.sync();
      FileChannel old = channel;
      channel = fresh;
      end = at;
      rotated = true;
      letGo(old, next);
    } catch (IOException | RuntimeException | Error e) {
      rotated = false;
      giveUp(fresh, file);
      throw new StorageException("journal not rotated", e);
    }
  }

  private void giveUp(FileChannel fresh, Path file) {
    try {
      if (fresh != null) {
        fresh.close();
      }
      folder.remove(file);
    } catch (IOException ignored) {
      // A removed name may come back after a loss of power in any case, until the folder is synced.
    }
  }

  /**
   * From here on the new file stands for all; what is left of the older ones, or comes back, does
   * no harm: the newest whole file is read, and that one's name lasts.
   */
  private void letGo(FileChannel old, long newest) {
    try {
      if (old != null) {
        old.close();
      }
      for (long n : numbers()) {
        if (n < newest) {
          folder.remove(file(n));
        }
      }
    } catch (IOException e) {
      // Tried again at the next rotation.
    }
  }

  /**
   * Whether appends count. After a rotation that failed, the file it left may look whole after a
   * loss of power, and being newer it would be read instead of this one: until another rotation
   * succeeds nothing is kept.
   */
  public boolean sound() {
    return rotated;
  }

  public long size() {
    return end;
  }

  /**
   * At which size a file is rotated that began with so much. While the next one is written both
   * stand on the disk, and they take half of it at the most: the rest is for what else stands
   * there.
   */
  public static long rotateAt(long begun, long capacity) {
    long rare = Math.max(ROTATE_AT, 3 * begun);
    return Math.max(begun + ROOM, Math.min(rare, capacity / 2 - begun));
  }
}
