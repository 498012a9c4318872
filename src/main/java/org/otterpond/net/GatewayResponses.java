package org.otterpond.net;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;

/** Answers that the system gives in its own name. */
public final class GatewayResponses {
  private GatewayResponses() {}

  public static HttpMessage problem(int status, String cause) {
    JsonObject o = new JsonObject();
    o.addProperty("cause", cause);
    return json(status, o.toString());
  }

  public static HttpMessage json(int status, String text) {
    return HttpMessage.response(status)
        .header("Content-Type", "application/json")
        .body(text.getBytes(StandardCharsets.UTF_8));
  }

  /** A promise that the request has not run and never will, with a time to come back after. */
  public static HttpMessage unavailable(String cause, double retryAfterSeconds) {
    return later(503, cause, retryAfterSeconds);
  }

  /** The same promise, where it is the caller who asks for more than it may. */
  public static HttpMessage overQuota(String cause, double retryAfterSeconds) {
    return later(429, cause, retryAfterSeconds);
  }

  private static HttpMessage later(int status, String cause, double retryAfterSeconds) {
    return problem(status, cause)
        .header("Retry-After", String.format(java.util.Locale.ROOT, "%.3f", retryAfterSeconds));
  }
}
