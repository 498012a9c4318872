package org.otterpond.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;

/**
 * Compresses texts and records with DEFLATE (zlib format). What goes to many nodes is compressed
 * once.
 */
public final class CompressedPayload {
  /** A small compressed payload may expand to much more; reading stops here. */
  private static final int MAX_DECOMPRESSED_BYTES = 64 << 20;

  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int INITIAL_OUTPUT_BYTES = 1024;

  private CompressedPayload() {}

  /** Compresses a record while it is encoded, without a copy of its encoded form in memory. */
  public static byte[] pack(WireRecord wireRecord) {
    return deflate(out -> WireRecordCodec.encode(wireRecord, out));
  }

  /** Compresses a text. */
  public static byte[] pack(String text) {
    return deflate(out -> out.write(text.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Decompresses a record while it is decoded.
   *
   * @throws ProtocolException if the bytes are no compressed record, or it is too large
   */
  public static WireRecord decompress(byte[] payload) throws ProtocolException {
    try (InputStream decompressed = inflate(payload)) {
      return WireRecordCodec.decode(decompressed);
    } catch (IOException e) {
      throw new ProtocolException("compressed record cannot be read", e);
    }
  }

  /**
   * Decompresses a text.
   *
   * @throws ProtocolException if the bytes are no compressed text, or it is too large
   */
  public static String decompressText(byte[] payload) throws ProtocolException {
    try (InputStream decompressed = inflate(payload)) {
      return new String(decompressed.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ProtocolException("compressed text cannot be read", e);
    }
  }

  @FunctionalInterface
  private interface ContentWriter {
    void writeTo(OutputStream out) throws IOException;
  }

  private static byte[] deflate(ContentWriter content) {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream(INITIAL_OUTPUT_BYTES);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater, BUFFER_BYTES)) {
      content.writeTo(out);
    } catch (IOException e) {
      throw new IllegalStateException("compression in memory failed", e);
    } finally {
      deflater.end();
    }
    return compressed.toByteArray();
  }

  private static InputStream inflate(byte[] payload) {
    return new BoundedInflaterStream(payload, new Inflater());
  }

  /** Decompresses up to {@link #MAX_DECOMPRESSED_BYTES} and fails beyond. */
  private static final class BoundedInflaterStream extends FilterInputStream {
    private final Inflater inflater;
    private long remaining = MAX_DECOMPRESSED_BYTES;

    BoundedInflaterStream(byte[] payload, Inflater inflater) {
      super(new InflaterInputStream(new ByteArrayInputStream(payload), inflater, BUFFER_BYTES));
      this.inflater = inflater;
    }

    @Override
    public void close() throws IOException {
      super.close();
      inflater.end();
    }

    @Override
    public int read() throws IOException {
      int value = super.read();
      count(value < 0 ? 0 : 1);
      return value;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      int count = super.read(buffer, offset, length);
      count(Math.max(0, count));
      return count;
    }

    private void count(int bytes) throws IOException {
      remaining -= bytes;
      if (remaining < 0) {
        throw new IOException("more than " + MAX_DECOMPRESSED_BYTES + " bytes decompressed");
      }
    }
  }
}
