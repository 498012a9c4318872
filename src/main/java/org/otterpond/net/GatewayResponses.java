package org.otterpond.net;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Responses that the gateway gives in its own name. */
public final class GatewayResponses {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private GatewayResponses() {}

  /** Returns a response with a JSON object that names the cause. */
  public static HttpMessage problem(int status, String cause) {
    JsonObject problem = new JsonObject();
    problem.addProperty("cause", cause);
    return json(status, problem.toString());
  }

  /** Returns a response with a JSON text. */
  public static HttpMessage json(int status, String text) {
    return HttpMessage.response(status)
        .header("Content-Type", "application/json")
        .body(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns 503, which guarantees that the request has not been executed and will not be. */
  public static HttpMessage unavailable(String cause, double retryAfterSeconds) {
    return retryLater(SERVICE_UNAVAILABLE, cause, retryAfterSeconds);
  }

  /** Returns 429, for a client beyond its quota, with the same guarantee as 503. */
  public static HttpMessage overQuota(String cause, double retryAfterSeconds) {
    return retryLater(TOO_MANY_REQUESTS, cause, retryAfterSeconds);
  }

  private static HttpMessage retryLater(int status, String cause, double retryAfterSeconds) {
    return problem(status, cause)
        .header("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterSeconds));
  }
}
