package org.otterpond.signal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One message between nodes, or one record in the journal: a kind and named fields. */
public final class Flag {
  private final String kind;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  public Flag(String kind) {
    this.kind = kind;
  }

  public String kind() {
    return kind;
  }

  public Map<String, Object> fields() {
    return fields;
  }

  /** Sets a field; a null value leaves it out. */
  public Flag with(String name, Object value) {
    if (value != null) {
      fields.put(name, value instanceof Flag f ? f.asMap() : value);
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

  /** A nested message, or null. */
  @SuppressWarnings("unchecked")
  public Flag flag(String name) {
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
  public List<Flag> flags(String name) {
    List<Flag> out = new ArrayList<>();
    for (Object o : list(name)) {
      out.add(fromMap((Map<String, Object>) o));
    }
    return out;
  }

  public Flag withFlags(String name, Iterable<Flag> flags) {
    List<Object> out = new ArrayList<>();
    for (Flag f : flags) {
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

  static Flag fromMap(Map<String, Object> m) {
    Flag f = new Flag(String.valueOf(m.get("_")));
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
