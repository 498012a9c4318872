package org.otterpond.control.state;

import com.google.gson.JsonObject;
import org.otterpond.config.GatewayConfiguration;

/**
 * A revision of the configuration together with its parsed forms.
 *
 * @param revision the revision
 * @param whole the complete JSON object; must not be changed
 * @param checked the validated configuration; null in {@link #NONE}
 * @param size length of the JSON text in characters
 */
public record ParsedConfiguration(
    long revision, JsonObject whole, GatewayConfiguration checked, int size) {
  /** The state before the first configuration. */
  public static final ParsedConfiguration NONE =
      new ParsedConfiguration(0, new JsonObject(), null, 0);

  private static final int LONG_TEXT_CHARACTERS = 64 * 1024;
  private static final int LONG_COMPRESSED_BYTES = 16 * 1024;

  /**
   * Returns whether parsing would block the owner thread long enough to delay responses to other
   * nodes, so that it should run on another thread.
   *
   * @param textLength length of the uncompressed part, in characters
   * @param packedLength length of the compressed part, in bytes
   */
  public static boolean isLong(int textLength, int packedLength) {
    return textLength > LONG_TEXT_CHARACTERS || packedLength > LONG_COMPRESSED_BYTES;
  }
}
