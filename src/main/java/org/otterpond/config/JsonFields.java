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

/** Reads and checks the fields of one JSON object; every error names the field by its full path. */
public final class JsonFields {
  /** Numbers with more digits or a larger exponent take too long to convert. */
  private static final int MAX_DECIMAL_DIGITS = 60;

  private final JsonObject object;
  private final String path;

  private JsonFields(JsonObject object, String path) {
    this.object = object;
    this.path = path;
  }

  /**
   * Parses a text.
   *
   * @throws ConfigException if it is not exactly one JSON object
   */
  public static JsonObject parse(String text) throws ConfigException {
    try (JsonReader reader = new JsonReader(new StringReader(text))) {
      reader.setStrictness(Strictness.STRICT);
      JsonElement parsed = Streams.parse(reader);
      if (!parsed.isJsonObject()) {
        throw new ConfigException("body: must be a JSON object");
      }
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new ConfigException("body: nothing may follow the JSON object");
      }
      return parsed.getAsJsonObject();
    } catch (IOException | JsonParseException | IllegalStateException | StackOverflowError e) {
      throw new ConfigException("body: not readable as JSON", e);
    }
  }

  /**
   * Reads an element as an object.
   *
   * @param path path of the element, for errors; empty for the outermost object
   * @throws ConfigException if it is null or no object
   */
  public static JsonFields of(JsonElement element, String path) throws ConfigException {
    if (element == null || !element.isJsonObject()) {
      throw new ConfigException(path + ": must be an object");
    }
    return new JsonFields(element.getAsJsonObject(), path);
  }

  /** Returns the full path of a field, for errors. */
  public String at(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  /** Returns whether the field is there and not null. */
  public boolean has(String name) {
    JsonElement element = object.get(name);
    return element != null && !element.isJsonNull();
  }

  /** Returns the underlying object; changes write through. */
  public JsonObject raw() {
    return object;
  }

  private JsonElement required(String name) throws ConfigException {
    if (!has(name)) {
      throw new ConfigException(at(name) + ": missing");
    }
    return object.get(name);
  }

  /** Returns a required object. */
  public JsonFields object(String name) throws ConfigException {
    return of(required(name), at(name));
  }

  /** Returns an optional object; an empty one if it is missing. */
  public JsonFields optionalObject(String name) throws ConfigException {
    return has(name) ? object(name) : of(new JsonObject(), at(name));
  }

  /** Returns a required list. */
  public JsonArray array(String name) throws ConfigException {
    JsonElement element = required(name);
    if (!element.isJsonArray()) {
      throw new ConfigException(at(name) + ": must be a list");
    }
    return element.getAsJsonArray();
  }

  /** Returns an optional list; an empty one if it is missing. */
  public JsonArray optionalArray(String name) throws ConfigException {
    return has(name) ? array(name) : new JsonArray();
  }

  /** Returns a required text that is not empty. */
  public String text(String name) throws ConfigException {
    return text(required(name), at(name));
  }

  /** Returns an optional text, or a default. */
  public String text(String name, String defaultValue) throws ConfigException {
    return has(name) ? text(name) : defaultValue;
  }

  /**
   * Reads an element as a text that is not empty.
   *
   * @param path path of the element, for the error
   */
  static String text(JsonElement element, String path) throws ConfigException {
    if (element instanceof JsonPrimitive primitive
        && primitive.isString()
        && !primitive.getAsString().isEmpty()) {
      return primitive.getAsString();
    }
    throw new ConfigException(path + ": must be a text that is not empty");
  }

  /** Returns a required whole number between the bounds, which are allowed values. */
  public long whole(String name, long min, long max) throws ConfigException {
    long value;
    try {
      value = number(name).longValueExact();
    } catch (ArithmeticException e) {
      throw new ConfigException(at(name) + ": must be a whole number", e);
    }
    if (value < min || value > max) {
      throw new ConfigException(at(name) + ": must be from " + min + " to " + max);
    }
    return value;
  }

  /** Returns an optional whole number between the bounds, or a default. */
  public long whole(String name, long min, long max, long defaultValue) throws ConfigException {
    return has(name) ? whole(name, min, max) : defaultValue;
  }

  /** Returns an optional number that is not below the minimum, or a default. */
  public double real(String name, double min, double defaultValue) throws ConfigException {
    if (!has(name)) {
      return defaultValue;
    }
    double value = number(name).doubleValue();
    if (!(value >= min)) {
      throw new ConfigException(at(name) + ": must not be below " + min);
    }
    return value;
  }

  /** Returns an optional number between the bounds, which are allowed values, or a default. */
  public double real(String name, double min, double max, double defaultValue)
      throws ConfigException {
    double value = real(name, min, defaultValue);
    if (value > max) {
      throw new ConfigException(at(name) + ": must not be above " + max);
    }
    return value;
  }

  private BigDecimal number(String name) throws ConfigException {
    JsonElement element = required(name);
    if (!(element instanceof JsonPrimitive primitive) || !primitive.isNumber()) {
      throw new ConfigException(at(name) + ": must be a number");
    }
    BigDecimal value;
    try {
      value = primitive.getAsBigDecimal();
    } catch (NumberFormatException e) {
      throw new ConfigException(at(name) + ": must be a number", e);
    }
    if (value.precision() > MAX_DECIMAL_DIGITS
        || Math.abs((long) value.scale()) > MAX_DECIMAL_DIGITS) {
      throw new ConfigException(at(name) + ": out of range");
    }
    return value;
  }

  /** Returns an optional boolean, or a default. */
  public boolean truth(String name, boolean defaultValue) throws ConfigException {
    if (!has(name)) {
      return defaultValue;
    }
    JsonElement element = object.get(name);
    if (!(element instanceof JsonPrimitive primitive) || !primitive.isBoolean()) {
      throw new ConfigException(at(name) + ": must be true or false");
    }
    return primitive.getAsBoolean();
  }
}
