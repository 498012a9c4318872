package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * How often the keys of one partitioned service were requested on this node since the last report.
 * It goes to the primary with the next poll.
 *
 * @param service the name of the service
 * @param meanLatencyMicros the average response time of the service; encoded as the sender gives
 *     it, with or without a fraction
 * @param keyCounts a key, its number of requests, the next key, its number, and so on
 */
record KeyLoadReport(String service, Number meanLatencyMicros, List<Long> keyCounts)
    implements Encodable {
  /** The encoded kind. */
  static final String KIND = "heat";

  private static final String SERVICE = "service";
  private static final String MEAN_LATENCY = "work";
  private static final String KEY_COUNTS = "keys";

  /** Creates a report from the number of requests by key. */
  static KeyLoadReport of(
      String service, double meanLatencyMicros, Map<Integer, Integer> requestsByKey) {
    List<Long> keyCounts = new ArrayList<>(2 * requestsByKey.size());
    requestsByKey.forEach(
        (key, requests) -> {
          keyCounts.add((long) key);
          keyCounts.add((long) requests);
        });
    return new KeyLoadReport(service, meanLatencyMicros, keyCounts);
  }

  /**
   * Reads a report.
   *
   * @throws ProtocolException if a field is missing or a key or count is no number
   */
  static KeyLoadReport of(WireRecord encoded) throws ProtocolException {
    List<Long> keyCounts = new ArrayList<>();
    for (Object number : encoded.list(KEY_COUNTS)) {
      if (!(number instanceof Number value)) {
        throw new ProtocolException("kind " + KIND + ": " + KEY_COUNTS + " holds no number");
      }
      keyCounts.add(value.longValue());
    }
    if (!(encoded.fields().get(MEAN_LATENCY) instanceof Number latency)) {
      throw new ProtocolException("kind " + KIND + " lacks the required field " + MEAN_LATENCY);
    }
    return new KeyLoadReport(encoded.requiredText(SERVICE), latency, keyCounts);
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(SERVICE, service)
        .with(MEAN_LATENCY, meanLatencyMicros)
        .with(KEY_COUNTS, keyCounts);
  }
}
