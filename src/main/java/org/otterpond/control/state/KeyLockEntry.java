package org.otterpond.control.state;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Locks an idempotency key for one run of a request.
 *
 * @param key the idempotency key, prefixed by its tenant
 * @param token identifies the run; only its bearer may release the key
 * @param holder internal address of the node that runs the request; null in entries of versions
 *     that did not write it
 */
public record KeyLockEntry(String key, String token, String holder) implements ReplicatedEntry {
  /** The encoded kind. */
  public static final String KIND = "claim";

  private static final String KEY = "key";
  private static final String TOKEN = "token";
  private static final String HOLDER = "holder";

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if key or token are missing
   */
  public static KeyLockEntry of(WireRecord encoded) throws ProtocolException {
    return new KeyLockEntry(
        encoded.requiredText(KEY), encoded.requiredText(TOKEN), encoded.text(HOLDER));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(KEY, key).with(TOKEN, token).with(HOLDER, holder);
  }
}
