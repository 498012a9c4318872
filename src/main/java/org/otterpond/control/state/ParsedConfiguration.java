package org.otterpond.control.state;

import com.google.gson.JsonObject;
import org.otterpond.config.GatewayConfiguration;

/**
 * A version as it was read: its text as an object, which is changed by nobody, and what was made of
 * it.
 *
 * @param size how long its text is
 */
public record ParsedConfiguration(
    long revision, JsonObject whole, GatewayConfiguration checked, int size) {
  public static final ParsedConfiguration NONE =
      new ParsedConfiguration(0, new JsonObject(), null, 0);
  private static final int LONG_TEXT = 64 * 1024;
  private static final int LONG_PACKED = 16 * 1024;

  /**
   * Whether reading so much would keep a node from answering others for long enough to be noticed.
   */
  public static boolean isLong(int textLength, int packedLength) {
    return textLength > LONG_TEXT || packedLength > LONG_PACKED;
  }
}
