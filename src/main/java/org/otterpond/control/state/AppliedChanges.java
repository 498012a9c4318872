package org.otterpond.control.state;

import com.google.common.io.BaseEncoding;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which change was taken under which revision, so that one that is sent again is acknowledged
 * again. The newest {@value #MOST} are known: about 5 hours of 36,000 changes a day, 13 minutes of
 * ten a second. All copies of the state apply the same changes in the same order, so they forget
 * the same ones.
 */
public final class AppliedChanges {
  static final int MOST = 8192;

  /** Half of a SHA-256 tells changes apart well enough. */
  private static final int DIGEST = 16;

  private final LinkedHashMap<Long, byte[]> digests = new LinkedHashMap<>();

  /**
   * @param digest SHA-256 in hexadecimal
   */
  void add(long revision, String digest) {
    put(revision, shortened(digest));
  }

  public boolean holds(long revision, String digest) {
    byte[] known = digests.get(revision);
    return known != null && Arrays.equals(known, shortened(digest));
  }

  int size() {
    return digests.size();
  }

  private void put(long revision, byte[] digest) {
    digests.put(revision, digest);
    if (digests.size() > MOST) {
      Iterator<Long> oldest = digests.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private static byte[] shortened(String digest) {
    return BaseEncoding.base16().lowerCase().decode(digest.substring(0, 2 * DIGEST));
  }

  /** All of them, oldest first: each revision and digest in {@code 8 + DIGEST} bytes. */
  byte[] pack() {
    ByteBuffer b = ByteBuffer.allocate(digests.size() * (Long.BYTES + DIGEST));
    for (Map.Entry<Long, byte[]> e : digests.entrySet()) {
      b.putLong(e.getKey()).put(e.getValue());
    }
    return b.array();
  }

  /** Replaces them by what {@link #pack()} gave, or by none. */
  void load(byte[] packed) {
    digests.clear();
    if (packed == null) {
      return;
    }
    ByteBuffer b = ByteBuffer.wrap(packed);
    while (b.remaining() >= Long.BYTES + DIGEST) {
      byte[] digest = new byte[DIGEST];
      long revision = b.getLong();
      b.get(digest);
      put(revision, digest);
    }
  }
}
