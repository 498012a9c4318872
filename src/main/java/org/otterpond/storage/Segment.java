package org.otterpond.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.function.BiConsumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** One file of the segmented log. */
final class Segment implements Closeable {
  private static final int OFFSET_BITS = 32;

  private final Path file;
  private final long number;
  private final FileChannel channel;
  private long size;

  private Segment(Path file, long number, FileChannel channel) {
    this.file = file;
    this.number = number;
    this.channel = channel;
  }

  /** Returns the number of the segment of a position. */
  static long numberOf(long position) {
    return position >> OFFSET_BITS;
  }

  /** Returns the first position of a segment. */
  static long startOf(long number) {
    return number << OFFSET_BITS;
  }

  /** Opens an existing file; nothing of it counts before it has been scanned. */
  static Segment open(Path file, long number) throws IOException {
    return openWith(file, number, StandardOpenOption.READ, StandardOpenOption.WRITE);
  }

  /** Creates a file that must not exist. */
  static Segment create(Path file, long number) throws IOException {
    return openWith(
        file,
        number,
        StandardOpenOption.CREATE_NEW,
        StandardOpenOption.READ,
        StandardOpenOption.WRITE);
  }

  private static Segment openWith(Path file, long number, OpenOption... options)
      throws IOException {
    return new Segment(file, number, FileChannel.open(file, options));
  }

  Path file() {
    return file;
  }

  long number() {
    return number;
  }

  /** Returns the size in bytes of the records that count. */
  long size() {
    return size;
  }

  /** Passes on all complete records with their positions and cuts off what follows them. */
  void scan(BiConsumer<WireRecord, Long> consumer) throws IOException {
    try (RecordScanner scanner = new RecordScanner(file, channel.size())) {
      for (byte[] body = scanner.next(); body != null; body = scanner.next()) {
        consumer.accept(WireRecordCodec.decode(body, 0, body.length), startOf(number) + size);
        size = scanner.offset();
      }
    } catch (ProtocolException e) {
      // Nothing behind a record that cannot be read was ever acknowledged.
    }
    channel.truncate(size);
  }

  /**
   * Appends frames and syncs the file.
   *
   * @return the positions of the records
   */
  long[] append(List<byte[]> frames) throws IOException {
    long[] positions = new long[frames.size()];
    long position = startOf(number) + size;
    for (int i = 0; i < positions.length; i++) {
      positions[i] = position;
      position += frames.get(i).length;
    }
    long end = RecordFraming.write(channel, RecordFraming.concatenate(frames), size);
    channel.force(false);
    size = end;
    return positions;
  }

  /** Writes the first frames of a new file and syncs content and metadata. */
  void writeHead(List<byte[]> frames) throws IOException {
    size = RecordFraming.write(channel, RecordFraming.concatenate(frames), 0);
    sync();
  }

  /** Cuts off what a failed append left. */
  void discardFailedAppend() throws IOException {
    channel.truncate(size);
  }

  /** Syncs content and metadata. */
  void sync() throws IOException {
    channel.force(true);
  }

  /**
   * Reads a record back.
   *
   * @return null if the file ends before the position
   * @throws CorruptRecordException if there is no record at the position
   */
  WireRecord read(long position) throws IOException, ProtocolException, CorruptRecordException {
    long offset = position - startOf(number);
    ByteBuffer header = ByteBuffer.allocate(RecordFraming.HEADER_BYTES);
    if (channel.read(header, offset) < RecordFraming.HEADER_BYTES) {
      return null;
    }
    header.flip();
    int length = header.getInt();
    int checksum = header.getInt();
    if (!RecordFraming.isValidLength(length)) {
      throw corrupt(offset);
    }
    byte[] body = new byte[length];
    if (!RecordFraming.readFully(channel, body, offset + RecordFraming.HEADER_BYTES)
        || RecordFraming.checksum(body) != checksum) {
      throw corrupt(offset);
    }
    return WireRecordCodec.decode(body, 0, length);
  }

  private CorruptRecordException corrupt(long offset) {
    return new CorruptRecordException("no record in " + file + " at offset " + offset);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
