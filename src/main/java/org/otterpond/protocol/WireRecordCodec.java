package org.otterpond.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Messages to CBOR and back, by Jackson's streaming layer. */
public final class WireRecordCodec {
  private static final CBORFactory FACTORY = new CBORFactory();

  private WireRecordCodec() {}

  public static byte[] encode(WireRecord wireRecord) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    try {
      encode(wireRecord, out);
    } catch (IOException e) {
      throw new IllegalStateException("in-memory encoding failed", e);
    }
    return out.toByteArray();
  }

  static void encode(WireRecord wireRecord, OutputStream out) throws IOException {
    try (JsonGenerator g = FACTORY.createGenerator(out)) {
      write(g, wireRecord.asMap());
    }
  }

  public static WireRecord decode(byte[] bytes, int offset, int length) throws ProtocolException {
    try (JsonParser p = FACTORY.createParser(bytes, offset, length)) {
      return decode(p);
    } catch (IOException e) {
      throw new ProtocolException("unreadable message", e);
    }
  }

  static WireRecord decode(InputStream in) throws ProtocolException {
    try (JsonParser p = FACTORY.createParser(in)) {
      return decode(p);
    } catch (IOException e) {
      throw new ProtocolException("unreadable message", e);
    }
  }

  @SuppressWarnings("unchecked")
  private static WireRecord decode(JsonParser p) throws IOException, ProtocolException {
    p.nextToken();
    Object v = read(p);
    if (!(v instanceof Map)) {
      throw new ProtocolException("a message is a map", null);
    }
    return WireRecord.fromMap((Map<String, Object>) v);
  }

  private static void write(JsonGenerator g, Object v) throws IOException {
    if (v == null) {
      g.writeNull();
    } else if (v instanceof String s) {
      g.writeString(s);
    } else if (v instanceof Integer || v instanceof Long) {
      g.writeNumber(((Number) v).longValue());
    } else if (v instanceof Double d) {
      g.writeNumber(d);
    } else if (v instanceof Boolean b) {
      g.writeBoolean(b);
    } else if (v instanceof byte[] b) {
      g.writeBinary(b);
    } else if (v instanceof WireRecord f) {
      write(g, f.asMap());
    } else if (v instanceof Map<?, ?> m) {
      g.writeStartObject();
      for (Map.Entry<?, ?> e : m.entrySet()) {
        g.writeFieldName(String.valueOf(e.getKey()));
        write(g, e.getValue());
      }
      g.writeEndObject();
    } else if (v instanceof Iterable<?> it) {
      g.writeStartArray();
      for (Object o : it) {
        write(g, o);
      }
      g.writeEndArray();
    } else {
      throw new IOException("no encoding for " + v.getClass());
    }
  }

  private static Object read(JsonParser p) throws IOException {
    JsonToken t = p.currentToken();
    if (t == null) {
      throw new IOException("message ends early");
    }
    switch (t) {
      case VALUE_STRING:
        return p.getText();
      case VALUE_NUMBER_INT:
        return p.getLongValue();
      case VALUE_NUMBER_FLOAT:
        return p.getDoubleValue();
      case VALUE_TRUE:
        return Boolean.TRUE;
      case VALUE_FALSE:
        return Boolean.FALSE;
      case VALUE_NULL:
        return null;
      case VALUE_EMBEDDED_OBJECT:
        return p.getBinaryValue();
      case START_ARRAY:
        {
          List<Object> list = new ArrayList<>();
          while (p.nextToken() != JsonToken.END_ARRAY) {
            list.add(read(p));
          }
          return list;
        }
      case START_OBJECT:
        {
          Map<String, Object> map = new LinkedHashMap<>();
          while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            map.put(name, read(p));
          }
          return map;
        }
      default:
        throw new IOException("unexpected token " + t);
    }
  }
}
