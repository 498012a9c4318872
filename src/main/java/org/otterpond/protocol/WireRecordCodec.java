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

/** Encodes records to CBOR and decodes them, by Jackson's streaming layer. Stateless. */
public final class WireRecordCodec {
  private static final CBORFactory FACTORY = new CBORFactory();
  private static final int INITIAL_OUTPUT_BYTES = 256;

  private WireRecordCodec() {}

  /**
   * Encodes a record.
   *
   * @throws IllegalStateException if a field has a value of a type without an encoding
   */
  public static byte[] encode(WireRecord wireRecord) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_OUTPUT_BYTES);
    try {
      encode(wireRecord, out);
    } catch (IOException e) {
      throw new IllegalStateException("record of kind " + wireRecord.kind() + " not encoded", e);
    }
    return out.toByteArray();
  }

  static void encode(WireRecord wireRecord, OutputStream out) throws IOException {
    try (JsonGenerator generator = FACTORY.createGenerator(out)) {
      write(generator, wireRecord.asMap());
    }
  }

  /**
   * Decodes a record from a part of an array.
   *
   * @throws ProtocolException if the bytes are no encoded record
   */
  public static WireRecord decode(byte[] bytes, int offset, int length) throws ProtocolException {
    try (JsonParser parser = FACTORY.createParser(bytes, offset, length)) {
      return decode(parser);
    } catch (IOException e) {
      throw new ProtocolException("encoded record cannot be read", e);
    }
  }

  static WireRecord decode(InputStream in) throws ProtocolException {
    try (JsonParser parser = FACTORY.createParser(in)) {
      return decode(parser);
    } catch (IOException e) {
      throw new ProtocolException("encoded record cannot be read", e);
    }
  }

  private static WireRecord decode(JsonParser parser) throws IOException, ProtocolException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new ProtocolException("an encoded record is a CBOR map");
    }
    return WireRecord.fromMap(readMap(parser));
  }

  private static void write(JsonGenerator generator, Object value) throws IOException {
    if (value == null) {
      generator.writeNull();
    } else if (value instanceof String text) {
      generator.writeString(text);
    } else if (value instanceof Integer || value instanceof Long) {
      generator.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      generator.writeNumber(number);
    } else if (value instanceof Boolean truth) {
      generator.writeBoolean(truth);
    } else if (value instanceof byte[] bytes) {
      generator.writeBinary(bytes);
    } else if (value instanceof WireRecord nested) {
      writeMap(generator, nested.asMap());
    } else if (value instanceof Map<?, ?> map) {
      writeMap(generator, map);
    } else if (value instanceof Iterable<?> elements) {
      writeList(generator, elements);
    } else {
      throw new IOException("no encoding for values of " + value.getClass());
    }
  }

  private static void writeMap(JsonGenerator generator, Map<?, ?> map) throws IOException {
    generator.writeStartObject();
    for (Map.Entry<?, ?> field : map.entrySet()) {
      generator.writeFieldName(String.valueOf(field.getKey()));
      write(generator, field.getValue());
    }
    generator.writeEndObject();
  }

  private static void writeList(JsonGenerator generator, Iterable<?> elements) throws IOException {
    generator.writeStartArray();
    for (Object element : elements) {
      write(generator, element);
    }
    generator.writeEndArray();
  }

  private static Object read(JsonParser parser) throws IOException {
    JsonToken token = parser.currentToken();
    if (token == null) {
      throw new IOException("the encoded record ends early");
    }
    return switch (token) {
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NULL -> null;
      case VALUE_EMBEDDED_OBJECT -> parser.getBinaryValue();
      case START_ARRAY -> readList(parser);
      case START_OBJECT -> readMap(parser);
      default -> throw new IOException("unexpected token " + token);
    };
  }

  private static List<Object> readList(JsonParser parser) throws IOException {
    List<Object> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(read(parser));
    }
    return elements;
  }

  private static Map<String, Object> readMap(JsonParser parser) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      fields.put(name, read(parser));
    }
    return fields;
  }
}
