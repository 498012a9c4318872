package org.otterpond.control.configuration;

import com.google.gson.JsonObject;
import org.otterpond.config.GatewayConfiguration;

/**
 * A revision of the configuration together with its parsed forms.
 *
 * @param revision the revision
 * @param json the complete JSON object; must not be changed
 * @param configuration the validated configuration; null in {@link #NONE}
 * @param textLength length of the JSON text in characters
 */
public record ParsedConfiguration(
    long revision, JsonObject json, GatewayConfiguration configuration, int textLength) {
  /** The state before the first configuration. */
  public static final ParsedConfiguration NONE =
      new ParsedConfiguration(0, new JsonObject(), null, 0);

  private static final int LONG_TEXT_CHARACTERS = 64 * 1024;
  private static final int LONG_COMPRESSED_BYTES = 16 * 1024;

  /**
   * Returns whether parsing would block the owner thread long enough to delay responses to other
   * nodes, so that it should run on another thread.
   *
   * @param textCharacters length of the uncompressed part
   * @param compressedBytes length of the compressed part
   */
  public static boolean isLong(int textCharacters, int compressedBytes) {
    return textCharacters > LONG_TEXT_CHARACTERS || compressedBytes > LONG_COMPRESSED_BYTES;
  }
}
