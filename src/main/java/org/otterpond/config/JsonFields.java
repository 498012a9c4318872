package org.otterpond.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.internal.Streams;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;

/** Checked reading of one JSON object; every complaint names the field by its whole path. */
public final class JsonFields {
  private final JsonObject object;
  private final String path;

  private JsonFields(JsonObject object, String path) {
    this.object = object;
    this.path = path;
  }

  /** Reads a text that must be exactly one JSON object. */
  public static JsonObject parse(String text) throws ConfigException {
    try (JsonReader reader = new JsonReader(new StringReader(text))) {
      reader.setStrictness(Strictness.STRICT);
      JsonElement e = Streams.parse(reader);
      if (!e.isJsonObject()) {
        throw new ConfigException("body: not a JSON object");
      }
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new ConfigException("body: something follows the JSON object");
      }
      return e.getAsJsonObject();
    } catch (IOException | JsonParseException | IllegalStateException | StackOverflowError ex) {
      throw new ConfigException("body: not readable as JSON");
    }
  }

  public static JsonFields of(JsonElement e, String path) throws ConfigException {
    if (e == null || !e.isJsonObject()) {
      throw new ConfigException(path + ": an object is wanted");
    }
    return new JsonFields(e.getAsJsonObject(), path);
  }

  public String at(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  public boolean has(String name) {
    JsonElement e = object.get(name);
    return e != null && !e.isJsonNull();
  }

  private JsonElement need(String name) throws ConfigException {
    if (!has(name)) {
      throw new ConfigException(at(name) + ": missing");
    }
    return object.get(name);
  }

  public JsonFields object(String name) throws ConfigException {
    return of(need(name), at(name));
  }

  public JsonArray array(String name) throws ConfigException {
    JsonElement e = need(name);
    if (!e.isJsonArray()) {
      throw new ConfigException(at(name) + ": a list is wanted");
    }
    return e.getAsJsonArray();
  }

  public String text(String name) throws ConfigException {
    JsonElement e = need(name);
    if (!(e instanceof JsonPrimitive p) || !p.isString() || p.getAsString().isEmpty()) {
      throw new ConfigException(at(name) + ": a text that is not empty is wanted");
    }
    return e.getAsString();
  }

  public String text(String name, String otherwise) throws ConfigException {
    return has(name) ? text(name) : otherwise;
  }

  /** A whole number within bounds. */
  public long whole(String name, long least, long most) throws ConfigException {
    BigDecimal v = number(name);
    long n;
    try {
      n = v.longValueExact();
    } catch (ArithmeticException ex) {
      throw new ConfigException(at(name) + ": a whole number is wanted");
    }
    if (n < least || n > most) {
      throw new ConfigException(at(name) + ": outside " + least + " to " + most);
    }
    return n;
  }

  public long whole(String name, long least, long most, long otherwise) throws ConfigException {
    return has(name) ? whole(name, least, most) : otherwise;
  }

  /** A number, with fractions or without, not below the least. */
  public double real(String name, double least, double otherwise) throws ConfigException {
    if (!has(name)) {
      return otherwise;
    }
    double v = number(name).doubleValue();
    if (!(v >= least)) {
      throw new ConfigException(at(name) + ": below " + least);
    }
    return v;
  }

  private BigDecimal number(String name) throws ConfigException {
    JsonElement e = need(name);
    if (!(e instanceof JsonPrimitive p) || !p.isNumber()) {
      throw new ConfigException(at(name) + ": a number is wanted");
    }
    try {
      BigDecimal v = p.getAsBigDecimal();
      if (v.precision() > 60 || Math.abs((long) v.scale()) > 60) {
        throw new ConfigException(at(name) + ": out of range");
      }
      return v;
    } catch (NumberFormatException ex) {
      throw new ConfigException(at(name) + ": a number is wanted");
    }
  }

  public boolean truth(String name, boolean otherwise) throws ConfigException {
    if (!has(name)) {
      return otherwise;
    }
    JsonElement e = object.get(name);
    if (!(e instanceof JsonPrimitive p) || !p.isBoolean()) {
      throw new ConfigException(at(name) + ": true or false is wanted");
    }
    return e.getAsBoolean();
  }

  public JsonObject raw() {
    return object;
  }
}
