package org.otterpond.harbour;

import com.google.gson.JsonObject;
import org.otterpond.chart.Configuration;

/**
 * A version as it was read: its text as an object, which is changed by nobody, and what was made of
 * it.
 *
 * @param size how long its text is
 */
record ReadConfiguration(long revision, JsonObject whole, Configuration checked, int size) {
  static final ReadConfiguration NONE = new ReadConfiguration(0, new JsonObject(), null, 0);
  private static final int LONG_TEXT = 64 * 1024;
  private static final int LONG_PACKED = 16 * 1024;

  /**
   * Whether reading so much would keep a node from answering others for long enough to be noticed.
   */
  static boolean isLong(int textLength, int packedLength) {
    return textLength > LONG_TEXT || packedLength > LONG_PACKED;
  }
}
