package org.otterpond.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A log in segments, whose records can be read back by their positions: the number of the segment
 * and the offset in it. Segments are dropped from the oldest on, once everything in them that
 * counts has been appended again.
 *
 * <p>Not thread-safe: all methods but the constructor are called on one thread at a time.
 */
public final class SegmentedLog implements Closeable {
  private static final String FILE_PREFIX = "seg-";

  private final DurableDirectory directory;
  private final TreeMap<Long, Segment> segments = new TreeMap<>();
  private long nextNumber = 1;
  private boolean sound = true;

  /** Whether a removed file may still come back, as the directory has not been synced since. */
  private boolean removalUnsynced;

  /** Creates a log in a directory, which is created on opening if it is missing. */
  public SegmentedLog(Path directory) {
    this(new DurableDirectory(directory));
  }

  SegmentedLog(DurableDirectory directory) {
    this.directory = directory;
  }

  /** Returns the number of the segment of a position. */
  public static long segmentOf(long position) {
    return Segment.numberOf(position);
  }

  /** Returns the first position of a segment. */
  public static long startOf(long segment) {
    return Segment.startOf(segment);
  }

  /**
   * Reads all records in their order. A record that is not complete ends its segment: what follows
   * it there was never acknowledged.
   *
   * @param consumer takes each record and its position
   * @throws StorageException if the directory or a file cannot be read
   */
  public void open(BiConsumer<WireRecord, Long> consumer) throws StorageException {
    try {
      directory.create();
      for (long number : fileNumbers()) {
        Segment segment = Segment.open(file(number), number);
        segment.scan(consumer);
        segments.put(number, segment);
        nextNumber = number + 1;
      }
      sound = syncOpenedFiles();
    } catch (IOException | NumberFormatException e) {
      throw StorageException.of("cannot read the segmented log in " + directory.path(), e);
    }
  }

  /** Returns the numbers of the files in ascending order. */
  private List<Long> fileNumbers() throws IOException {
    List<Long> numbers = new ArrayList<>();
    for (String suffix : directory.suffixes(FILE_PREFIX)) {
      numbers.add(Long.parseLong(suffix));
    }
    numbers.sort(Long::compare);
    return numbers;
  }

  private Path file(long number) {
    return directory.file(FILE_PREFIX + number);
  }

  /**
   * Makes what was read durable before anything is appended to it; if that fails a new segment has
   * to be begun first.
   */
  private boolean syncOpenedFiles() {
    try {
      if (!segments.isEmpty()) {
        newestSegment().sync();
      }
      directory.sync();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private Segment newestSegment() {
    return segments.lastEntry().getValue();
  }

  /** Returns the size of the newest segment in bytes; {@code Long.MAX_VALUE} if there is none. */
  public long newestSize() {
    return segments.isEmpty() ? Long.MAX_VALUE : newestSegment().size();
  }

  /** Whether records can be appended; if not, a new segment has to be begun first. */
  public boolean sound() {
    return sound && !segments.isEmpty();
  }

  /** Returns the size of all segments in bytes. */
  public long totalSize() {
    long total = 0;
    for (Segment segment : segments.values()) {
      total += segment.size();
    }
    return total;
  }

  /** Returns the number of the oldest segment; 0 if there is none. */
  public long oldest() {
    return segments.isEmpty() ? 0 : segments.firstKey();
  }

  /** Returns the number of the newest segment; 0 if there is none. */
  public long newest() {
    return segments.isEmpty() ? 0 : segments.lastKey();
  }

  /**
   * Begins a new segment with these records. It counts once it and its directory are synced.
   *
   * @throws StorageException on any failure; from then on nothing can be appended before another
   *     segment has been begun
   */
  public void begin(List<WireRecord> records) throws StorageException {
    long number = nextNumber++;
    Segment segment = null;
    try {
      segment = Segment.create(file(number), number);
      segment.writeHead(frames(records));
      directory.sync();
      removalUnsynced = false;
      segments.put(number, segment);
      sound = true;
    } catch (IOException | RuntimeException | Error e) {
      // A power loss may bring the file back, to be read in its order: nothing may be appended to
      // the segment before it any more.
      sound = false;
      discard(segment);
      throw StorageException.of("cannot begin a segment in " + directory.path(), e);
    }
  }

  private void discard(Segment segment) {
    if (segment == null) {
      return;
    }
    try {
      segment.close();
      directory.remove(segment.file());
    } catch (IOException ignored) {
      // The file takes space on the disk until the next start.
    }
  }

  private static List<byte[]> frames(List<WireRecord> records) {
    List<byte[]> frames = new ArrayList<>(records.size());
    for (WireRecord record : records) {
      frames.add(frame(record));
    }
    return frames;
  }

  /** Returns a record in the form in which it is written. */
  public static byte[] frame(WireRecord record) {
    return RecordFraming.frame(record);
  }

  /**
   * Appends frames and syncs once. After a failure nothing of them counts.
   *
   * @return the positions of the records
   * @throws NewFileRequiredException if a new segment has to be begun first
   * @throws DiskFullException if there is no space left
   * @throws StorageException on any other failure
   */
  public long[] append(List<byte[]> frames) throws StorageException {
    if (!sound()) {
      throw new NewFileRequiredException("a new segment has to be begun first");
    }
    Segment segment = newestSegment();
    try {
      return segment.append(frames);
    } catch (IOException | RuntimeException | Error e) {
      // What was written may look complete later: nothing may be appended behind it any more.
      sound = false;
      discardFailedAppend(segment);
      throw StorageException.of("cannot append to segment " + segment.number(), e);
    }
  }

  private static void discardFailedAppend(Segment segment) {
    try {
      segment.discardFailedAppend();
    } catch (IOException ignored) {
      // A record that was never acknowledged may come back after a start, as a prepared one.
    }
  }

  /**
   * Reads a record back.
   *
   * @return null if its segment has been dropped or ends before the position
   * @throws CorruptRecordException if the bytes at the position are not a record
   * @throws StorageIoException if the disk rejects the read
   */
  public WireRecord read(long position) throws StorageException {
    Segment segment = segments.get(segmentOf(position));
    if (segment == null) {
      return null;
    }
    try {
      return segment.read(position);
    } catch (IOException | ProtocolException e) {
      throw StorageException.of("cannot read segment " + segment.number(), e);
    }
  }

  /**
   * Drops the oldest segment; never the newest. The removal is made durable before the next one:
   * otherwise the older of two could come back without the one that records how its messages ended.
   *
   * @throws StorageException if the file cannot be removed, or its removal not be made durable
   */
  public void dropOldest() throws StorageException {
    if (segments.size() < 2) {
      return;
    }
    try {
      syncRemoval();
      Segment segment = segments.firstEntry().getValue();
      removalUnsynced = true;
      directory.remove(segment.file());
      segments.remove(segment.number());
      segment.close();
      syncRemoval();
    } catch (IOException e) {
      throw StorageException.of("cannot drop segment " + oldest(), e);
    }
  }

  private void syncRemoval() throws IOException {
    if (removalUnsynced) {
      directory.sync();
      removalUnsynced = false;
    }
  }

  /** Closes all files. */
  @Override
  public void close() throws IOException {
    for (Segment segment : segments.values()) {
      segment.close();
    }
  }
}
