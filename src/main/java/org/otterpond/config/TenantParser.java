package org.otterpond.config;

import com.google.gson.JsonArray;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Parses and validates the tenants of one configuration. */
final class TenantParser {
  private static final char LAST_PRINTABLE_ASCII = '~';

  private final Set<String> names = new HashSet<>();
  private final Set<String> accessKeys = new HashSet<>();

  List<Tenant> parse(JsonFields configuration) throws ConfigException {
    List<Tenant> tenants = new ArrayList<>();
    JsonArray list = configuration.optionalArray("subscribers");
    for (int i = 0; i < list.size(); i++) {
      tenants.add(tenant(JsonFields.of(list.get(i), "subscribers[" + i + "]")));
    }
    return tenants;
  }

  private Tenant tenant(JsonFields fields) throws ConfigException {
    return new Tenant(
        name(fields),
        accessKeys(fields),
        (int) fields.whole("priority", 0, Integer.MAX_VALUE, 0),
        fields.real("rate_per_s", 0, 0),
        fields.real("burst_size", 0, 0));
  }

  private String name(JsonFields fields) throws ConfigException {
    String name = fields.text("name");
    if (!names.add(name)) {
      throw new ConfigException(fields.at("name") + ": given twice");
    }
    if (!name.chars().allMatch(c -> c > ' ' && c <= LAST_PRINTABLE_ASCII)) {
      throw new ConfigException(
          fields.at("name") + ": must fit into a header: printable ASCII without spaces");
    }
    return name;
  }

  private List<String> accessKeys(JsonFields fields) throws ConfigException {
    List<String> keys = new ArrayList<>();
    JsonArray list = fields.optionalArray("access_keys");
    for (int i = 0; i < list.size(); i++) {
      String path = fields.at("access_keys[" + i + "]");
      String key = JsonFields.text(list.get(i), path);
      // The error must not contain the key: errors are logged and sent to clients.
      if (!accessKeys.add(key)) {
        throw new ConfigException(path + ": this key is given already");
      }
      keys.add(key);
    }
    return List.copyOf(keys);
  }
}
