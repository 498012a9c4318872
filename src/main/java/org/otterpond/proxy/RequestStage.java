package org.otterpond.proxy;

import java.util.Locale;

/** What a request waits for; names the place in metrics and logs of requests whose client left. */
public enum RequestStage {
  /** The first configuration of this node. */
  CONFIGURATION,
  /** A token of the tenant's quota or the lock on its idempotency key. */
  ADMISSION,
  /** A worker with a free slot. */
  QUEUE,
  /** The response of a worker. */
  ATTEMPT,
  /** The next attempt after one that failed. */
  RETRY,
  /** The client, which has not taken its response; a hedged attempt may still be open. */
  RESPONSE;

  /** Returns the value of the metrics' label and of the log field. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
