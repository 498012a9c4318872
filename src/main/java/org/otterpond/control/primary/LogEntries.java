package org.otterpond.control.primary;

import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.WireRecord;

/** Creates the entries that the primary's services write to the replicated log. */
final class LogEntries {
  private static final String KEY = "key";
  private static final String TOKEN = "token";

  private LogEntries() {}

  /** The lock of an idempotency key. */
  static WireRecord keyLock(String key, String token, String holder) {
    return new WireRecord("claim").with(KEY, key).with(TOKEN, token).with("holder", holder);
  }

  /** The release of the lock of an idempotency key, if the attempt still holds it. */
  static WireRecord keyRelease(String key, String token) {
    return new WireRecord("free").with(KEY, key).with(TOKEN, token);
  }

  /**
   * A configuration.
   *
   * @param digest SHA-256 of the change that made it, in hexadecimal
   */
  static WireRecord configuration(long revision, CompressedText text, String digest) {
    return CompressedText.put(text, new WireRecord("config").with("rev", revision))
        .with("digest", digest);
  }

  /** The state of a worker at a time of this node's clock. */
  static WireRecord worker(WorkerInstance worker, long nowMicros) {
    return worker.toWireRecord("worker", nowMicros);
  }
}
