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

/** What goes to many nodes alike, packed once: a text or a message, deflated. */
public final class CompressedPayload {
  private static final int MOST = 64 << 20;
  private static final int BUFFER = 8 * 1024;

  private CompressedPayload() {}

  /**
   * Packed as it is encoded, and read as it is unpacked: the whole never stands in memory a second
   * time.
   */
  public static byte[] pack(WireRecord wireRecord) {
    return deflate(out -> WireRecordCodec.encode(wireRecord, out));
  }

  public static byte[] pack(String text) {
    return deflate(out -> out.write(text.getBytes(StandardCharsets.UTF_8)));
  }

  public static WireRecord unpack(byte[] payload) throws ProtocolException {
    return WireRecordCodec.decode(bounded(payload));
  }

  public static String unpackText(byte[] payload) throws ProtocolException {
    try (InputStream in = bounded(payload)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ProtocolException("unreadable bale", e);
    }
  }

  private interface Writer {
    void to(OutputStream out) throws IOException;
  }

  private static byte[] deflate(Writer whole) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(1024);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream d = new DeflaterOutputStream(out, deflater, BUFFER)) {
      whole.to(d);
    } catch (IOException e) {
      throw new IllegalStateException("in-memory packing failed", e);
    } finally {
      deflater.end();
    }
    return out.toByteArray();
  }

  /** What is in a bale, up to a bound: a small bale may hold much. */
  private static InputStream bounded(byte[] payload) {
    Inflater inflater = new Inflater();
    return new FilterInputStream(
        new InflaterInputStream(new ByteArrayInputStream(payload), inflater, BUFFER)) {
      private long left = MOST;

      @Override
      public void close() throws IOException {
        super.close();
        inflater.end();
      }

      @Override
      public int read() throws IOException {
        int b = super.read();
        count(b < 0 ? 0 : 1);
        return b;
      }

      @Override
      public int read(byte[] to, int offset, int length) throws IOException {
        int n = super.read(to, offset, length);
        count(Math.max(0, n));
        return n;
      }

      private void count(int n) throws IOException {
        left -= n;
        if (left < 0) {
          throw new IOException("a bale of more than " + MOST + " bytes");
        }
      }
    };
  }
}
