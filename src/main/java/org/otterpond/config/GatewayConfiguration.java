package org.otterpond.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One version of the configuration, checked, with its routes arranged for look-up. */
public final class GatewayConfiguration {
  private final long revision;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services;
  private final ClientLimits limits;
  private final List<Tenant> tenants;
  private final Map<String, Tenant> tenantOfKey = new HashMap<>();

  GatewayConfiguration(
      long revision,
      List<Route> routes,
      Map<String, Service> services,
      ClientLimits limits,
      List<Tenant> tenants) {
    this.tenants = List.copyOf(tenants);
    tenants.forEach(s -> s.keys().forEach(k -> tenantOfKey.put(k, s)));
    this.revision = revision;
    this.services = Map.copyOf(services);
    this.limits = limits;
    for (Route r : routes) {
      routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
    }
    routesByHost
        .values()
        .forEach(l -> l.sort((a, b) -> Integer.compare(b.prefix().length(), a.prefix().length())));
  }

  public long revision() {
    return revision;
  }

  public ClientLimits limits() {
    return limits;
  }

  public List<Tenant> tenants() {
    return tenants;
  }

  /** Whether requests must bring an access key, but on public routes. */
  public boolean closed() {
    return !tenants.isEmpty();
  }

  /** The tenant that holds the key, or null. */
  public Tenant tenantOf(String key) {
    return tenantOfKey.get(key);
  }

  public Map<String, Service> services() {
    return services;
  }

  /** The route with the longest prefix that begins the path, or null. */
  public Route route(String hostHeader, String path) {
    String host = hostHeader.toLowerCase(Locale.ROOT);
    int colon = host.lastIndexOf(':');
    if (colon > 0 && host.indexOf(']', colon) < 0) {
      host = host.substring(0, colon);
    }
    for (Route r : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(r.prefix())) {
        return r;
      }
    }
    return null;
  }
}
