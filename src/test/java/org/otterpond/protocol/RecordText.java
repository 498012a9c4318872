package org.otterpond.protocol;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Formats records as text, in one line, for comparison with stored expectations. */
public final class RecordText {
  private RecordText() {}

  /**
   * Returns the kind and the fields in their order; texts are quoted, bytes are in hexadecimal
   * after an x.
   */
  public static String of(WireRecord record) {
    return record.kind() + fields(record.fields());
  }

  private static String fields(Map<?, ?> fields) {
    return fields.entrySet().stream()
        .map(field -> field.getKey() + "=" + value(field.getValue()))
        .collect(Collectors.joining(", ", "{", "}"));
  }

  private static String value(Object value) {
    if (value instanceof String text) {
      return quoted(text);
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

  private static String quoted(String text) {
    String escaped = text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    return '"' + escaped + '"';
  }
}
