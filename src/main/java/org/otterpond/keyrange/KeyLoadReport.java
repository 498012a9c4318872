package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A node's report of how often the keys of a service were requested since its report before.
 *
 * @param workMicros how long the work of one request usually takes, encoded as a whole or as a
 *     floating-point number; 0 if unknown
 * @param requestsByKey number of requests by key
 */
public record KeyLoadReport(String service, Number workMicros, Map<Integer, Long> requestsByKey)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "heat";

  private static final String SERVICE = "service";
  private static final String WORK = "work";
  private static final String KEYS = "keys";

  /** Creates a report of a service whose requests usually take the given time. */
  public static KeyLoadReport of(
      String service, double meanLatencyMicros, Map<Integer, Integer> requestsByKey) {
    Map<Integer, Long> requests = new LinkedHashMap<>();
    requestsByKey.forEach((key, count) -> requests.put(key, (long) count));
    return new KeyLoadReport(service, meanLatencyMicros, requests);
  }

  /**
   * Reads a report.
   *
   * @throws ProtocolException if the service is missing or a key or count is no number
   */
  public static KeyLoadReport of(WireRecord encoded) throws ProtocolException {
    Map<Integer, Long> requests = new LinkedHashMap<>();
    List<Object> flat = encoded.list(KEYS);
    for (int i = 0; i + 1 < flat.size(); i += 2) {
      requests.merge((int) number(flat.get(i)), number(flat.get(i + 1)), Long::sum);
    }
    return new KeyLoadReport(encoded.requiredText(SERVICE), workMicros(encoded), requests);
  }

  private static long number(Object value) throws ProtocolException {
    if (!(value instanceof Number number)) {
      throw new ProtocolException("kind " + KIND + ": " + KEYS + " holds no number");
    }
    return number.longValue();
  }

  private static Number workMicros(WireRecord encoded) {
    return encoded.fields().get(WORK) instanceof Number work ? work : 0L;
  }

  @Override
  public WireRecord toWireRecord() {
    List<Object> flat = new ArrayList<>();
    requestsByKey.forEach(
        (key, requests) -> {
          flat.add((long) key);
          flat.add(requests);
        });
    return new WireRecord(KIND).with(SERVICE, service).with(WORK, workMicros).with(KEYS, flat);
  }
}
