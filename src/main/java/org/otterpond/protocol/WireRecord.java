package org.otterpond.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The encoded form of a message between nodes or of a log record: a kind and named fields.
 *
 * <p>Code outside the codecs works with typed messages ({@link Encodable}); this form is what they
 * are written to and read from. Unknown fields are kept and ignored, so that a message of a newer
 * version can be read.
 */
public final class WireRecord implements Encodable {
  private final String kind;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  public WireRecord(String kind) {
    this.kind = kind;
  }

  @Override
  public WireRecord toWireRecord() {
    return this;
  }

  public String kind() {
    return kind;
  }

  public Map<String, Object> fields() {
    return fields;
  }

  /** Sets a field; a null value leaves it out. */
  public WireRecord with(String name, Object value) {
    if (value != null) {
      fields.put(name, value instanceof WireRecord f ? f.asMap() : value);
    }
    return this;
  }

  public boolean has(String name) {
    return fields.containsKey(name);
  }

  public String text(String name) {
    return (String) fields.get(name);
  }

  public long number(String name) {
    Object v = fields.get(name);
    return v instanceof Number n ? n.longValue() : 0L;
  }

  public boolean truth(String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  public byte[] bytes(String name) {
    return (byte[]) fields.get(name);
  }

  /**
   * Returns the text of a field that every sender sets.
   *
   * @throws ProtocolException if the field is missing or holds no text
   */
  public String requiredText(String name) throws ProtocolException {
    return required(name, String.class);
  }

  /**
   * Returns the whole number of a field that every sender sets.
   *
   * @throws ProtocolException if the field is missing or holds no number
   */
  public long requiredNumber(String name) throws ProtocolException {
    return required(name, Number.class).longValue();
  }

  /**
   * Returns the bytes of a field that every sender sets.
   *
   * @throws ProtocolException if the field is missing or holds no bytes
   */
  public byte[] requiredBytes(String name) throws ProtocolException {
    return required(name, byte[].class);
  }

  /**
   * Returns the nested record of a field that every sender sets.
   *
   * @throws ProtocolException if the field is missing or holds no record
   */
  public WireRecord requiredNested(String name) throws ProtocolException {
    required(name, Map.class);
    return nested(name);
  }

  /**
   * Returns the nested records of a list that every sender sets; it may be empty.
   *
   * @throws ProtocolException if the field is missing, holds no list or a list of something else
   */
  public List<WireRecord> requiredRecords(String name) throws ProtocolException {
    List<?> elements = required(name, List.class);
    for (Object element : elements) {
      if (!(element instanceof Map)) {
        throw new ProtocolException("kind " + kind + ": the field " + name + " holds no records");
      }
    }
    return records(name);
  }

  private <T> T required(String name, Class<T> type) throws ProtocolException {
    Object value = fields.get(name);
    if (!type.isInstance(value)) {
      throw ProtocolException.missingField(kind, name);
    }
    return type.cast(value);
  }

  /** A nested message, or null. */
  @SuppressWarnings("unchecked")
  public WireRecord nested(String name) {
    Object v = fields.get(name);
    return v == null ? null : fromMap((Map<String, Object>) v);
  }

  @SuppressWarnings("unchecked")
  public List<Object> list(String name) {
    Object v = fields.get(name);
    return v == null ? List.of() : (List<Object>) v;
  }

  /** A list of nested messages. */
  @SuppressWarnings("unchecked")
  public List<WireRecord> records(String name) {
    List<WireRecord> out = new ArrayList<>();
    for (Object o : list(name)) {
      out.add(fromMap((Map<String, Object>) o));
    }
    return out;
  }

  public WireRecord withRecords(String name, Iterable<WireRecord> records) {
    List<Object> out = new ArrayList<>();
    for (WireRecord f : records) {
      out.add(f.asMap());
    }
    fields.put(name, out);
    return this;
  }

  Map<String, Object> asMap() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("_", kind);
    m.putAll(fields);
    return m;
  }

  static WireRecord fromMap(Map<String, Object> m) {
    WireRecord f = new WireRecord(String.valueOf(m.get("_")));
    m.forEach(
        (k, v) -> {
          if (!k.equals("_")) {
            f.fields.put(k, v);
          }
        });
    return f;
  }

  @Override
  public String toString() {
    return kind + fields.keySet();
  }
}
