package org.almondslip.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Immutable state of all routes, services and organisations at one version. */
public final class RoutingTable {

  /** Version of the state; a higher one replaces a lower one. */
  private final long version;

  /** Routes by host, the longest prefix first. */
  private final Map<String, List<Route>> routes;

  /** Services by name. */
  private final Map<String, ServicePolicy> services;

  /** Organisations by API key. */
  private final Map<String, Organisation> organisations;

  /** Whether callers need keys. */
  private final boolean keyed;

  /** Limits on what callers send. */
  private final IngressLimits limits;

  /**
   * Creates a table.
   *
   * @param version the version of the state
   * @param routes the routes
   * @param services the services
   * @param organisations the organisations by API key
   * @param keyed whether callers need keys
   * @param limits the limits on what callers send
   */
  public RoutingTable(
      long version,
      List<Route> routes,
      List<ServicePolicy> services,
      Map<String, Organisation> organisations,
      boolean keyed,
      IngressLimits limits) {
    this.version = version;
    this.routes = byHost(routes);
    Map<String, ServicePolicy> named = new HashMap<>();
    services.forEach(service -> named.put(service.name(), service));
    this.services = Map.copyOf(named);
    this.organisations = Map.copyOf(organisations);
    this.keyed = keyed;
    this.limits = limits;
  }

  /**
   * Returns the version of the state.
   *
   * @return the version
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits on what callers send.
   *
   * @return the limits
   */
  public IngressLimits limits() {
    return limits;
  }

  /**
   * Returns the number of routes.
   *
   * @return the number
   */
  public int routeCount() {
    return routes.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Finds the route of a request.
   *
   * @param host the host that the caller names, with or without a port
   * @param path the path without the query
   * @return the route with the longest matching prefix
   */
  public Optional<Route> route(String host, String path) {
    int colon = host.lastIndexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routes.getOrDefault(name, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds a service.
   *
   * @param name the name of the service
   * @return the service
   */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds the holder of an API key.
   *
   * @param key the key
   * @return the organisation
   */
  public Optional<Organisation> organisation(String key) {
    return Optional.ofNullable(organisations.get(key));
  }

  /**
   * Returns whether a request needs a key.
   *
   * @param route the route of the request
   * @return true when it does
   */
  public boolean requiresApiKey(Route route) {
    return keyed && !route.anonymous();
  }

  /**
   * Groups routes by host.
   *
   * @param routes the routes
   * @return the routes by host, the longest prefix first
   */
  private static Map<String, List<Route>> byHost(List<Route> routes) {
    Map<String, List<Route>> grouped = new HashMap<>();
    for (Route route : routes) {
      grouped.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    grouped
        .values()
        .forEach(
            list ->
                list.sort(
                    Comparator.comparingInt((Route route) -> route.prefix().length()).reversed()));
    return grouped;
  }
}
