package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * One operator's order: a configuration, or a change, on a base. However often and wherever it is
 * sent as it was, it is one operation.
 *
 * @param marker the name of the subscriber by which the content shows that the order has taken
 *     effect
 */
record ConfigurationWrite(boolean modify, long base, long revision, String marker, String text) {
  /** A whole configuration whose only subscriber is the marker. The padding makes it large. */
  static ConfigurationWrite replace(long base, long revision, String marker, String padding) {
    return new ConfigurationWrite(
        false,
        base,
        revision,
        marker,
        "{\"revision\":"
            + revision
            + ",\"route_table\":[],"
            + "\"service_table\":["
            + service(padding)
            + "],\"subscribers\":["
            + subscriber(marker)
            + "]}");
  }

  /** A change that adds the marker to the subscribers there are. */
  static ConfigurationWrite modify(long base, long revision, String marker) {
    return new ConfigurationWrite(
        true,
        base,
        revision,
        marker,
        "{\"revision\":"
            + revision
            + ",\"upsert_items\":{\"subscribers\":["
            + subscriber(marker)
            + "]}}");
  }

  private static String subscriber(String marker) {
    return "{\"name\":\"" + marker + "\"}";
  }

  private static String service(String padding) {
    return padding.isEmpty() ? "" : "{\"name\":\"wide\",\"health_path\":\"/" + padding + "\"}";
  }

  String kind() {
    return modify ? "modify" : "replace";
  }

  /**
   * The markers that stand in the configuration after this order took effect on one that held
   * these.
   */
  List<String> after(List<String> content) {
    if (!modify) {
      return List.of(marker);
    }
    List<String> out = new ArrayList<>(content);
    out.add(marker);
    return List.copyOf(out);
  }

  @Override
  public String toString() {
    return marker + "(" + kind() + " " + base + ">" + revision + ")";
  }
}
