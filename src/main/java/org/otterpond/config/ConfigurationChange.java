package org.otterpond.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;

/** Applies one change to the JSON object of a configuration. */
final class ConfigurationChange {
  private final JsonFields change;
  private final JsonObject result;

  private ConfigurationChange(JsonObject current, JsonObject change) throws ConfigException {
    this.change = JsonFields.of(change, "");
    this.result = current.deepCopy();
  }

  /** Returns the changed configuration; the given objects are not modified. */
  static JsonObject apply(JsonObject current, JsonObject change) throws ConfigException {
    return new ConfigurationChange(current, change).changed();
  }

  private JsonObject changed() throws ConfigException {
    result.addProperty("revision", change.whole("revision", 1, Long.MAX_VALUE));
    removeItems(change.optionalObject("remove_items"));
    upsertItems(change.optionalObject("upsert_items"));
    if (change.has("limits")) {
      result.add("limits", change.object("limits").raw());
    }
    return result;
  }

  private void removeItems(JsonFields tables) throws ConfigException {
    for (String table : tables.raw().keySet()) {
      Map<String, JsonElement> items = itemsByName(table, tables.at(table));
      for (JsonElement name : tables.array(table)) {
        if (!name.isJsonPrimitive() || !name.getAsJsonPrimitive().isString()) {
          throw new ConfigException(tables.at(table) + ": must be a list of names");
        }
        items.remove(name.getAsString());
      }
      putItems(table, items);
    }
  }

  private void upsertItems(JsonFields tables) throws ConfigException {
    for (String table : tables.raw().keySet()) {
      JsonElement given = tables.raw().get(table);
      if (isObject(table, given)) {
        result.add(table, JsonFields.of(given, tables.at(table)).raw());
      } else {
        upsertInto(table, tables);
      }
    }
  }

  /** Returns whether the field is an object, which is replaced as a whole. */
  private boolean isObject(String field, JsonElement given) {
    return result.has(field) ? result.get(field).isJsonObject() : given.isJsonObject();
  }

  private void upsertInto(String table, JsonFields tables) throws ConfigException {
    Map<String, JsonElement> items = itemsByName(table, tables.at(table));
    JsonArray list = tables.array(table);
    for (int i = 0; i < list.size(); i++) {
      JsonFields item = JsonFields.of(list.get(i), tables.at(table) + "[" + i + "]");
      items.put(item.text("name"), list.get(i));
    }
    putItems(table, items);
  }

  private Map<String, JsonElement> itemsByName(String table, String path) throws ConfigException {
    Map<String, JsonElement> items = new LinkedHashMap<>();
    if (!result.has(table)) {
      return items;
    }
    if (!result.get(table).isJsonArray()) {
      throw new ConfigException(path + ": not a table of named items");
    }
    JsonArray list = result.getAsJsonArray(table);
    for (int i = 0; i < list.size(); i++) {
      JsonFields item = JsonFields.of(list.get(i), "current " + table + "[" + i + "]");
      items.put(item.text("name"), list.get(i));
    }
    return items;
  }

  private void putItems(String table, Map<String, JsonElement> items) {
    JsonArray list = new JsonArray();
    items.values().forEach(list::add);
    result.add(table, list);
  }
}
