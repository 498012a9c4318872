package org.otterpond.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The encoded form of a message between nodes or of a log record: a kind and named fields in their
 * order.
 *
 * <p>Code outside the codecs works with typed messages ({@link Encodable}); this form is what they
 * are written to and read from. Unknown fields are kept and ignored, so that a message of a newer
 * version can be read. Field values are texts, whole numbers, doubles, booleans, bytes, lists and
 * nested records.
 */
public final class WireRecord implements Encodable {
  /** The field of the encoded map that has the kind. */
  private static final String KIND = "_";

  private final String kind;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  /** Creates a record without fields. */
  public WireRecord(String kind) {
    this.kind = kind;
  }

  @Override
  public WireRecord toWireRecord() {
    return this;
  }

  /** Returns the kind, by which decoders are chosen. */
  public String kind() {
    return kind;
  }

  /** Returns the fields in their order, without the kind; changes write through. */
  public Map<String, Object> fields() {
    return fields;
  }

  /**
   * Sets a field; a null value leaves it out.
   *
   * @return this record
   */
  public WireRecord with(String name, Object value) {
    if (value != null) {
      fields.put(name, value instanceof WireRecord nested ? nested.asMap() : value);
    }
    return this;
  }

  /**
   * Sets a field to a list of nested records.
   *
   * @return this record
   */
  public WireRecord withRecords(String name, Iterable<WireRecord> records) {
    List<Object> elements = new ArrayList<>();
    for (WireRecord element : records) {
      elements.add(element.asMap());
    }
    fields.put(name, elements);
    return this;
  }

  /** Returns whether the field is there. */
  public boolean has(String name) {
    return fields.containsKey(name);
  }

  /** Returns the text of an optional field; null if it is missing or holds no text. */
  public String text(String name) {
    return optional(name, String.class);
  }

  /** Returns the whole number of an optional field; 0 if it is missing or holds no number. */
  public long number(String name) {
    Number number = optional(name, Number.class);
    return number == null ? 0 : number.longValue();
  }

  /** Returns whether an optional field holds true. */
  public boolean truth(String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  /** Returns the bytes of an optional field; null if it is missing or holds no bytes. */
  public byte[] bytes(String name) {
    return optional(name, byte[].class);
  }

  /** Returns the nested record of an optional field; null if it is missing or holds no record. */
  @SuppressWarnings("unchecked") // maps in fields have field names as keys
  public WireRecord nested(String name) {
    Map<String, Object> map = optional(name, Map.class);
    return map == null ? null : fromMap(map);
  }

  /** Returns the elements of an optional list; none if it is missing or holds no list. */
  @SuppressWarnings("unchecked") // a list of any elements is a list of objects
  public List<Object> list(String name) {
    List<Object> elements = optional(name, List.class);
    return elements == null ? List.of() : elements;
  }

  /** Returns the nested records of an optional list; elements of other types are left out. */
  @SuppressWarnings("unchecked") // maps in fields have field names as keys
  public List<WireRecord> records(String name) {
    List<WireRecord> records = new ArrayList<>();
    for (Object element : list(name)) {
      if (element instanceof Map) {
        records.add(fromMap((Map<String, Object>) element));
      }
    }
    return records;
  }

  private <T> T optional(String name, Class<T> type) {
    Object value = fields.get(name);
    return type.isInstance(value) ? type.cast(value) : null;
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
    int elements = required(name, List.class).size();
    List<WireRecord> records = records(name);
    if (records.size() < elements) {
      throw new ProtocolException(
          "kind " + kind + ": the field " + name + " holds other elements than records");
    }
    return records;
  }

  private <T> T required(String name, Class<T> type) throws ProtocolException {
    T value = optional(name, type);
    if (value == null) {
      throw ProtocolException.missingField(kind, name);
    }
    return value;
  }

  /** Returns the map that is encoded: the kind, then the fields. */
  Map<String, Object> asMap() {
    Map<String, Object> map = new LinkedHashMap<>();
    map.put(KIND, kind);
    map.putAll(fields);
    return map;
  }

  static WireRecord fromMap(Map<String, Object> map) {
    WireRecord decoded = new WireRecord(String.valueOf(map.get(KIND)));
    decoded.fields.putAll(map);
    decoded.fields.remove(KIND);
    return decoded;
  }

  @Override
  public String toString() {
    return kind + fields.keySet();
  }
}
