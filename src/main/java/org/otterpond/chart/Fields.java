package org.otterpond.chart;

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
public final class Fields {
  private final JsonObject object;
  private final String path;

  private Fields(JsonObject object, String path) {
    this.object = object;
    this.path = path;
  }

  /** Reads a text that must be exactly one JSON object. */
  public static JsonObject parse(String text) throws ChartException {
    try (JsonReader reader = new JsonReader(new StringReader(text))) {
      reader.setStrictness(Strictness.STRICT);
      JsonElement e = Streams.parse(reader);
      if (!e.isJsonObject()) {
        throw new ChartException("body: not a JSON object");
      }
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new ChartException("body: something follows the JSON object");
      }
      return e.getAsJsonObject();
    } catch (IOException | JsonParseException | IllegalStateException | StackOverflowError ex) {
      throw new ChartException("body: not readable as JSON");
    }
  }

  public static Fields of(JsonElement e, String path) throws ChartException {
    if (e == null || !e.isJsonObject()) {
      throw new ChartException(path + ": an object is wanted");
    }
    return new Fields(e.getAsJsonObject(), path);
  }

  public String at(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  public boolean has(String name) {
    JsonElement e = object.get(name);
    return e != null && !e.isJsonNull();
  }

  private JsonElement need(String name) throws ChartException {
    if (!has(name)) {
      throw new ChartException(at(name) + ": missing");
    }
    return object.get(name);
  }

  public Fields object(String name) throws ChartException {
    return of(need(name), at(name));
  }

  public JsonArray array(String name) throws ChartException {
    JsonElement e = need(name);
    if (!e.isJsonArray()) {
      throw new ChartException(at(name) + ": a list is wanted");
    }
    return e.getAsJsonArray();
  }

  public String text(String name) throws ChartException {
    JsonElement e = need(name);
    if (!(e instanceof JsonPrimitive p) || !p.isString() || p.getAsString().isEmpty()) {
      throw new ChartException(at(name) + ": a text that is not empty is wanted");
    }
    return e.getAsString();
  }

  public String text(String name, String otherwise) throws ChartException {
    return has(name) ? text(name) : otherwise;
  }

  /** A whole number within bounds. */
  public long whole(String name, long least, long most) throws ChartException {
    BigDecimal v = number(name);
    long n;
    try {
      n = v.longValueExact();
    } catch (ArithmeticException ex) {
      throw new ChartException(at(name) + ": a whole number is wanted");
    }
    if (n < least || n > most) {
      throw new ChartException(at(name) + ": outside " + least + " to " + most);
    }
    return n;
  }

  public long whole(String name, long least, long most, long otherwise) throws ChartException {
    return has(name) ? whole(name, least, most) : otherwise;
  }

  /** A number, with fractions or without, not below the least. */
  public double real(String name, double least, double otherwise) throws ChartException {
    if (!has(name)) {
      return otherwise;
    }
    double v = number(name).doubleValue();
    if (!(v >= least)) {
      throw new ChartException(at(name) + ": below " + least);
    }
    return v;
  }

  private BigDecimal number(String name) throws ChartException {
    JsonElement e = need(name);
    if (!(e instanceof JsonPrimitive p) || !p.isNumber()) {
      throw new ChartException(at(name) + ": a number is wanted");
    }
    try {
      BigDecimal v = p.getAsBigDecimal();
      if (v.precision() > 60 || Math.abs((long) v.scale()) > 60) {
        throw new ChartException(at(name) + ": out of range");
      }
      return v;
    } catch (NumberFormatException ex) {
      throw new ChartException(at(name) + ": a number is wanted");
    }
  }

  public boolean truth(String name, boolean otherwise) throws ChartException {
    if (!has(name)) {
      return otherwise;
    }
    JsonElement e = object.get(name);
    if (!(e instanceof JsonPrimitive p) || !p.isBoolean()) {
      throw new ChartException(at(name) + ": true or false is wanted");
    }
    return e.getAsBoolean();
  }

  public JsonObject raw() {
    return object;
  }
}
