package org.otterpond.messaging.message;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Encodes a number for each group as a list: group, number, group, number, and so on. */
final class NumberPairs {
  private NumberPairs() {}

  static List<Object> encode(Map<Integer, Long> numberByGroup) {
    List<Object> pairs = new ArrayList<>(2 * numberByGroup.size());
    numberByGroup.forEach(
        (group, number) -> {
          pairs.add((long) group);
          pairs.add(number);
        });
    return pairs;
  }

  /** Reads a list; without the field there is no pair. */
  static Map<Integer, Long> decode(WireRecord encoded, String field) throws ProtocolException {
    List<Object> pairs = encoded.list(field);
    Map<Integer, Long> numberByGroup = new LinkedHashMap<>();
    for (int i = 0; i + 1 < pairs.size(); i += 2) {
      if (!(pairs.get(i) instanceof Number group) || !(pairs.get(i + 1) instanceof Number number)) {
        throw new ProtocolException("kind " + encoded.kind() + ": " + field + " holds no numbers");
      }
      numberByGroup.put(group.intValue(), number.longValue());
    }
    return numberByGroup;
  }
}
