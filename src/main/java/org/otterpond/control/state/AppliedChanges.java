package org.otterpond.control.state;

import com.google.common.io.BaseEncoding;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The digests of the newest {@value #CAPACITY} applied configuration changes by revision, so that a
 * retry of a change is acknowledged again. The capacity covers about 5 hours at 36,000 changes a
 * day, or 13 minutes at ten a second. All replicas apply the same changes in the same order, so
 * they forget the same ones.
 *
 * <p>Confined to the owner thread.
 */
public final class AppliedChanges {
  static final int CAPACITY = 8192;

  /** Half of a SHA-256 is enough to distinguish changes. */
  private static final int DIGEST_BYTES = 16;

  private static final int PACKED_CHANGE_BYTES = Long.BYTES + DIGEST_BYTES;

  /** In the order in which the changes were applied. */
  private final LinkedHashMap<Long, byte[]> digests = new LinkedHashMap<>();

  /**
   * Adds an applied change.
   *
   * @param digest SHA-256 of the change, in hexadecimal
   */
  void add(long revision, String digest) {
    put(revision, shortened(digest));
  }

  /**
   * Returns whether this change was applied under this revision.
   *
   * @param digest SHA-256 of the change, in hexadecimal
   */
  public boolean holds(long revision, String digest) {
    byte[] known = digests.get(revision);
    return known != null && Arrays.equals(known, shortened(digest));
  }

  int size() {
    return digests.size();
  }

  private void put(long revision, byte[] digest) {
    digests.put(revision, digest);
    if (digests.size() > CAPACITY) {
      Iterator<Long> oldestFirst = digests.keySet().iterator();
      oldestFirst.next();
      oldestFirst.remove();
    }
  }

  private static byte[] shortened(String digest) {
    return BaseEncoding.base16().lowerCase().decode(digest.substring(0, 2 * DIGEST_BYTES));
  }

  /** Returns all changes, oldest first: the revision in 8 bytes, then the shortened digest. */
  byte[] pack() {
    ByteBuffer packed = ByteBuffer.allocate(digests.size() * PACKED_CHANGE_BYTES);
    for (Map.Entry<Long, byte[]> change : digests.entrySet()) {
      packed.putLong(change.getKey());
      packed.put(change.getValue());
    }
    return packed.array();
  }

  /** Replaces all changes by packed ones; null means none. */
  void load(byte[] packed) {
    digests.clear();
    if (packed == null) {
      return;
    }
    ByteBuffer remaining = ByteBuffer.wrap(packed);
    while (remaining.remaining() >= PACKED_CHANGE_BYTES) {
      long revision = remaining.getLong();
      byte[] digest = new byte[DIGEST_BYTES];
      remaining.get(digest);
      put(revision, digest);
    }
  }
}
