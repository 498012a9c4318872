package org.otterpond.keyrange;

import com.google.gson.JsonObject;

/**
 * The bodies of the calls to workers. The field names are those of the workers' protocol: {@code
 * source_revision} and {@code target_revision} are the first and the last key, {@code
 * lease_transfer} is the handover token.
 */
final class LeaseCallBody {
  private static final String FIRST_KEY = "source_revision";
  private static final String LAST_KEY = "target_revision";
  private static final String FENCE = "fence";
  private static final String HOLD_MILLIS = "hold_timer_ms";
  private static final String HANDOVER_TOKEN = "lease_transfer";

  private LeaseCallBody() {}

  /** Returns the body of a release. */
  static String release(KeyRangeLease lease, int lastKey) {
    return range(lease, lastKey).toString();
  }

  /** Returns the body of a grant. */
  static String grant(KeyRangeLease lease, int lastKey, long holdMicros) {
    JsonObject body = range(lease, lastKey);
    body.addProperty(HOLD_MILLIS, holdMicros / 1000);
    if (lease.handoverToken != null) {
      body.addProperty(HANDOVER_TOKEN, lease.handoverToken);
    }
    return body.toString();
  }

  private static JsonObject range(KeyRangeLease lease, int lastKey) {
    JsonObject body = new JsonObject();
    body.addProperty(FIRST_KEY, lease.firstKey);
    body.addProperty(LAST_KEY, lastKey);
    body.addProperty(FENCE, lease.fence);
    return body;
  }
}
