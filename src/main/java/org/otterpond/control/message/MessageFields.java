package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Reads fields that senders may leave out. A field with a value of the wrong type is reported as a
 * {@link ProtocolException} that names kind and field.
 */
final class MessageFields {
  private MessageFields() {}

  /** Returns the text of a field, or null if the field is left out. */
  static String optionalText(WireRecord message, String field) throws ProtocolException {
    return message.has(field) ? message.requiredText(field) : null;
  }

  /** Returns the nested record of a field, or null if the field is left out. */
  static WireRecord optionalNested(WireRecord message, String field) throws ProtocolException {
    return message.has(field) ? message.requiredNested(field) : null;
  }

  /** Returns the nested records of a list field; none if the field is left out. */
  static List<WireRecord> nestedList(WireRecord message, String field) throws ProtocolException {
    checkElements(message, field, Map.class);
    return message.records(field);
  }

  /** Returns the texts of a list field; none if the field is left out. */
  static List<String> textList(WireRecord message, String field) throws ProtocolException {
    checkElements(message, field, String.class);
    List<String> texts = new ArrayList<>();
    message.list(field).forEach(text -> texts.add((String) text));
    return texts;
  }

  /** Returns the number of a field that every sender sets. */
  static double requiredDecimal(WireRecord message, String field) throws ProtocolException {
    message.requiredNumber(field);
    return ((Number) message.fields().get(field)).doubleValue();
  }

  private static void checkElements(WireRecord message, String field, Class<?> type)
      throws ProtocolException {
    Object value = message.fields().get(field);
    if (value == null) {
      return;
    }
    if (!(value instanceof List<?> list) || !list.stream().allMatch(type::isInstance)) {
      throw new ProtocolException(
          "kind " + message.kind() + " has no list of the expected type in the field " + field);
    }
  }
}
