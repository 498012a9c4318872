package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * One write of an operator: a whole configuration, or a modification, on a base revision. However
 * often and to whichever node it is sent unchanged, it is one write.
 *
 * @param modifies whether it modifies the configuration of its base, or else replaces it
 * @param base the revision that must be current for the write to take effect
 * @param revision the revision that the write creates
 * @param marker the name of the tenant by which a content shows that the write has taken effect
 * @param text the JSON text that is sent
 */
record ConfigurationWrite(boolean modifies, long base, long revision, String marker, String text) {

  /**
   * A whole configuration whose only tenant is the marker.
   *
   * @param padding text that makes the configuration large, or the empty string
   */
  static ConfigurationWrite replace(long base, long revision, String marker, String padding) {
    String text =
        "{\"revision\":"
            + revision
            + ",\"route_table\":[],"
            + "\"service_table\":["
            + service(padding)
            + "],\"subscribers\":["
            + tenant(marker)
            + "]}";
    return new ConfigurationWrite(false, base, revision, marker, text);
  }

  /** A modification that adds the marker to the tenants of its base. */
  static ConfigurationWrite modify(long base, long revision, String marker) {
    String text =
        "{\"revision\":"
            + revision
            + ",\"upsert_items\":{\"subscribers\":["
            + tenant(marker)
            + "]}}";
    return new ConfigurationWrite(true, base, revision, marker, text);
  }

  private static String tenant(String marker) {
    return "{\"name\":\"" + marker + "\"}";
  }

  private static String service(String padding) {
    return padding.isEmpty() ? "" : "{\"name\":\"wide\",\"health_path\":\"/" + padding + "\"}";
  }

  /** The kind of the write as it is named in a request. */
  String kind() {
    return modifies ? "modify" : "replace";
  }

  /** The markers in the configuration after this write took effect on one with these markers. */
  List<String> contentAfter(List<String> content) {
    if (!modifies) {
      return List.of(marker);
    }
    List<String> markers = new ArrayList<>(content);
    markers.add(marker);
    return List.copyOf(markers);
  }

  @Override
  public String toString() {
    return marker + "(" + kind() + " " + base + ">" + revision + ")";
  }
}
