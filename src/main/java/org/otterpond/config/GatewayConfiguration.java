package org.otterpond.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One validated revision of the configuration, indexed for look-up. Immutable. */
public final class GatewayConfiguration {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final long revision;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services;
  private final ClientLimits limits;
  private final List<Tenant> tenants;
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();

  GatewayConfiguration(
      long revision,
      List<Route> routes,
      Map<String, Service> services,
      ClientLimits limits,
      List<Tenant> tenants) {
    this.revision = revision;
    this.services = Map.copyOf(services);
    this.limits = limits;
    this.tenants = List.copyOf(tenants);
    for (Tenant tenant : tenants) {
      tenant.keys().forEach(key -> tenantsByKey.put(key, tenant));
    }
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(LONGEST_PREFIX_FIRST));
  }

  /** Returns the revision, from 1. */
  public long revision() {
    return revision;
  }

  /** Returns what clients may send. */
  public ClientLimits limits() {
    return limits;
  }

  /** Returns the tenants in their order. */
  public List<Tenant> tenants() {
    return tenants;
  }

  /** Returns whether requests need an access key, except on open routes. */
  public boolean closed() {
    return !tenants.isEmpty();
  }

  /** Returns the tenant of an access key, or null. */
  public Tenant tenantByKey(String key) {
    return tenantsByKey.get(key);
  }

  /** Returns the services by name. */
  public Map<String, Service> services() {
    return services;
  }

  /**
   * Returns the route whose prefix is the longest that the path starts with, or null.
   *
   * @param hostHeader value of the Host header, with a port or without, in any case
   * @param path path of the request
   */
  public Route route(String hostHeader, String path) {
    for (Route route : routesByHost.getOrDefault(withoutPort(hostHeader), List.of())) {
      if (path.startsWith(route.prefix())) {
        return route;
      }
    }
    return null;
  }

  private static String withoutPort(String hostHeader) {
    String host = hostHeader.toLowerCase(Locale.ROOT);
    int colon = host.lastIndexOf(':');
    boolean colonInsideIpv6Address = host.indexOf(']', colon) >= 0;
    return colon > 0 && !colonInsideIpv6Address ? host.substring(0, colon) : host;
  }
}
