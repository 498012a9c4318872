package org.otterpond.proxy;

import org.otterpond.net.HttpMessage;

/** Reads how long the sender of a request waits for its response. */
public final class TimeRemaining {
  private static final int MICROS_PER_MILLI = 1_000;

  private TimeRemaining() {}

  /**
   * Returns the time in microseconds, or the default if the request does not say.
   *
   * @throws InvalidRequestException if the header is no number
   */
  public static long micros(HttpMessage request, long defaultMicros)
      throws InvalidRequestException {
    String millis = request.firstHeader(GatewayHeaders.TIME_REMAINING);
    if (millis == null) {
      return defaultMicros;
    }
    try {
      return (long) (MICROS_PER_MILLI * Double.parseDouble(millis.trim()));
    } catch (NumberFormatException e) {
      throw new InvalidRequestException(
          GatewayHeaders.TIME_REMAINING + ": must be a number of milliseconds", e);
    }
  }
}
