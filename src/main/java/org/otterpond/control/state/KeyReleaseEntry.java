package org.otterpond.control.state;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Releases the lock of an idempotency key after a run that provably did not execute.
 *
 * @param key the idempotency key, prefixed by its tenant
 * @param token the token of the lock; a lock with another token stays
 */
public record KeyReleaseEntry(String key, String token) implements ReplicatedEntry {
  /** The encoded kind. */
  public static final String KIND = "free";

  private static final String KEY = "key";
  private static final String TOKEN = "token";

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if key or token are missing
   */
  public static KeyReleaseEntry of(WireRecord encoded) throws ProtocolException {
    return new KeyReleaseEntry(encoded.requiredText(KEY), encoded.requiredText(TOKEN));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(KEY, key).with(TOKEN, token);
  }
}
