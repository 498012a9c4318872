package org.otterpond.protocol;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One line of text for a record: its kind and fields in their order; texts in quotes, bytes in
 * hexadecimal.
 */
public final class RecordText {
  private RecordText() {}

  public static String of(WireRecord record) {
    return record.kind() + fields(record.fields());
  }

  private static String fields(Map<?, ?> fields) {
    return fields.entrySet().stream()
        .map(e -> e.getKey() + "=" + value(e.getValue()))
        .collect(Collectors.joining(", ", "{", "}"));
  }

  private static String value(Object value) {
    if (value instanceof String text) {
      return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
    if (value instanceof byte[] bytes) {
      return "x" + HexFormat.of().formatHex(bytes);
    }
    if (value instanceof Map<?, ?> nested) {
      return fields(nested);
    }
    if (value instanceof List<?> list) {
      return list.stream().map(RecordText::value).collect(Collectors.joining(", ", "[", "]"));
    }
    return String.valueOf(value);
  }
}
