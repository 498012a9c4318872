package org.otterpond.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * An append-only log of framed records in numbered files. Each file begins with records that stand
 * for everything logged before it, so the newest complete file is enough.
 *
 * <p>Not thread-safe: it is opened and replayed by one thread and then handed to another.
 */
public final class WriteAheadLog implements Closeable {
  private static final String FILE_PREFIX = "log-";

  /** A file is not rotated below this size unless the disk is small. */
  private static final long MIN_ROTATION_BYTES = 4L << 20;

  /** A file is rotated at this multiple of the size that it began with. */
  private static final long ROTATION_FACTOR = 3;

  /** A file can grow by this much at least, however small the disk is. */
  private static final long MIN_GROWTH_BYTES = 1L << 20;

  private final DurableDirectory directory;
  private FileChannel channel;

  /** The file to be replayed, until it has been. */
  private Path openedFile;

  private long newestNumber;
  private long end;
  private boolean sound = true;

  /** Creates a log in a directory, which is created on opening if it is missing. */
  public WriteAheadLog(Path directory) {
    this(new DurableDirectory(directory));
  }

  WriteAheadLog(DurableDirectory directory) {
    this.directory = directory;
  }

  /** How much of a file is complete, and the record that it begins with. */
  private record FileContent(LogBase base, long completeBytes) {}

  /**
   * Opens the newest complete file.
   *
   * @return its first record; null if the disk is blank
   * @throws StorageException if the directory cannot be read or created
   */
  public LogBase open() throws StorageException {
    try {
      directory.create();
      List<Long> numbers = fileNumbers();
      newestNumber = numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1);
      for (int i = numbers.size() - 1; i >= 0; i--) {
        Path file = file(numbers.get(i));
        FileContent content = contentOf(file);
        if (content != null) {
          openForAppends(file, content.completeBytes());
          // A newer file that is not complete must never come to look complete again.
          sound = i == numbers.size() - 1 && syncOpenedFile();
          return content.base();
        }
      }
      return null;
    } catch (IOException e) {
      throw unreadable(e);
    }
  }

  private void openForAppends(Path file, long completeBytes) throws IOException {
    channel = FileChannel.open(file, StandardOpenOption.WRITE);
    channel.truncate(completeBytes);
    end = completeBytes;
    openedFile = file;
  }

  /** Returns null if the file does not stand for everything before it. */
  private static FileContent contentOf(Path file) throws IOException {
    LogBase base = null;
    long records = 0;
    try (RecordScanner scanner = new RecordScanner(file, Files.size(file))) {
      for (byte[] body = scanner.next(); body != null; body = scanner.next()) {
        if (records == 0) {
          base = LogBase.of(RecordFraming.decode(body));
        }
        records++;
      }
      return base != null && records > base.recordCount()
          ? new FileContent(base, scanner.offset())
          : null;
    } catch (ProtocolException e) {
      return null;
    }
  }

  /**
   * Makes what was read durable before anything is built on it. The process before may have ended
   * between a write and its sync, or between the removal of a file that a failed rotation left and
   * the sync of the directory. Such a file could come back after a power loss, newer than the one
   * that is written to now.
   */
  private boolean syncOpenedFile() {
    try {
      channel.force(true);
      directory.sync();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Passes on the records behind the first one, as they were when the log was opened, with one
   * record in memory at a time.
   *
   * @throws CorruptRecordException if a record that passed its checksum cannot be decoded
   * @throws StorageIoException if the file cannot be read
   */
  public void replay(Consumer<WireRecord> consumer) throws StorageException {
    if (openedFile == null) {
      return;
    }
    try (RecordScanner scanner = new RecordScanner(openedFile, end)) {
      scanner.next();
      for (byte[] body = scanner.next(); body != null; body = scanner.next()) {
        consumer.accept(RecordFraming.decode(body));
      }
      openedFile = null;
    } catch (IOException | ProtocolException e) {
      throw unreadable(e);
    }
  }

  private StorageException unreadable(Exception cause) {
    return StorageException.of("cannot read the write-ahead log in " + directory.path(), cause);
  }

  /** Returns the numbers of the files in ascending order; other names are ignored. */
  private List<Long> fileNumbers() throws IOException {
    List<Long> numbers = new ArrayList<>();
    for (String suffix : directory.suffixes(FILE_PREFIX)) {
      try {
        numbers.add(Long.parseLong(suffix));
      } catch (NumberFormatException e) {
        // Not a file of the log.
      }
    }
    numbers.sort(Long::compare);
    return numbers;
  }

  private Path file(long number) {
    return directory.file(FILE_PREFIX + number);
  }

  /** Returns a record in the form in which it is written; long ones are compressed. */
  public static byte[] frame(WireRecord record) {
    return RecordFraming.compressedFrame(record);
  }

  /**
   * Appends frames and syncs once. After a failure nothing of them counts.
   *
   * @throws NewFileRequiredException if a rotation failed and none has succeeded since
   * @throws DiskFullException if there is no space left
   * @throws StorageException on any other failure
   */
  public void append(List<byte[]> frames) throws StorageException {
    if (!sound) {
      throw new NewFileRequiredException("the write-ahead log has to be rotated first");
    }
    byte[] bytes = RecordFraming.concatenate(frames);
    try {
      long newEnd = RecordFraming.write(channel, bytes, end);
      channel.force(false);
      end = newEnd;
    } catch (IOException | RuntimeException | Error e) {
      truncateToEnd();
      throw StorageException.of("cannot append to the write-ahead log", e);
    }
  }

  private void truncateToEnd() {
    try {
      channel.truncate(end);
    } catch (IOException ignored) {
      // The next append writes at the same offset; what is left fails its checksum or is replaced.
    }
  }

  /**
   * Begins a new file that stands for everything before it, then removes the older ones. The file
   * counts once it and its directory are synced: if only its entry were lost, the removal of the
   * older ones would leave a blank disk.
   *
   * @param base the records that stand for everything logged so far
   * @throws StorageException on any failure; from then on nothing can be appended before a rotation
   *     has succeeded
   */
  public void rotate(String diskId, List<WireRecord> base) throws StorageException {
    newestNumber++;
    Path file = file(newestNumber);
    FileChannel newChannel = null;
    try {
      newChannel =
          FileChannel.open(
              file,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING);
      final long newEnd = writeBase(newChannel, diskId, base);
      newChannel.force(true);
      directory.sync();
      final FileChannel oldChannel = channel;
      channel = newChannel;
      end = newEnd;
      sound = true;
      removeOlderFiles(oldChannel, newestNumber);
    } catch (IOException | RuntimeException | Error e) {
      sound = false;
      discard(newChannel, file);
      throw StorageException.of("cannot rotate the write-ahead log", e);
    }
  }

  /** Writes the records one at a time, and returns the offset behind the last. */
  private static long writeBase(FileChannel channel, String diskId, List<WireRecord> base)
      throws IOException {
    WireRecord first = new LogBase(base.size(), diskId).toWireRecord();
    long offset = RecordFraming.write(channel, frame(first), 0);
    for (WireRecord record : base) {
      offset = RecordFraming.write(channel, frame(record), offset);
    }
    return offset;
  }

  private void discard(FileChannel newChannel, Path file) {
    try {
      if (newChannel != null) {
        newChannel.close();
      }
      directory.remove(file);
    } catch (IOException ignored) {
      // Until the directory is synced a power loss may bring a removed file back in any case.
    }
  }

  /**
   * The new file is durable now and the newest complete one is read, so older ones that stay or
   * come back do no harm.
   */
  private void removeOlderFiles(FileChannel oldChannel, long newest) {
    try {
      if (oldChannel != null) {
        oldChannel.close();
      }
      for (long number : fileNumbers()) {
        if (number < newest) {
          directory.remove(file(number));
        }
      }
    } catch (IOException ignored) {
      // The next rotation removes them.
    }
  }

  /**
   * Whether records can be appended. After a failed rotation the file that it left may look
   * complete after a power loss, and would be read in place of this one as it is newer: until a
   * rotation succeeds nothing can be stored durably.
   */
  public boolean sound() {
    return sound;
  }

  /** Returns the size of the current file in bytes. */
  public long size() {
    return end;
  }

  /**
   * Returns the size at which a file is rotated. While the next file is written both are on the
   * disk; they take half of it at most and leave the rest to other uses.
   *
   * @param initialBytes the size that the file began with
   * @param capacityBytes the capacity of the disk
   */
  public static long rotateAt(long initialBytes, long capacityBytes) {
    long preferred = Math.max(MIN_ROTATION_BYTES, ROTATION_FACTOR * initialBytes);
    long available = capacityBytes / 2 - initialBytes;
    return Math.max(initialBytes + MIN_GROWTH_BYTES, Math.min(preferred, available));
  }

  /** Closes the current file. */
  @Override
  public void close() throws IOException {
    if (channel != null) {
      channel.close();
    }
  }
}
