package org.almondslip.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Immutable snapshot of all routes, services and organisations at one version. */
public final class RoutingTable {

  private final long version;

  /** Routes by lower-case host, ordered by descending length of the prefix. */
  private final Map<String, List<Route>> routesByHost;

  private final Map<String, ServicePolicy> servicesByName;

  private final Map<String, Organisation> organisationsByKey;

  private final boolean apiKeysRequired;

  private final IngressLimits limits;

  /**
   * Creates a table.
   *
   * @param version the version of the snapshot; a higher one replaces a lower one
   * @param routes the routes
   * @param services the services
   * @param organisationsByKey the organisations by API key
   * @param apiKeysRequired whether callers need an API key on routes that are not anonymous
   * @param limits the limits on requests and connections of callers
   */
  public RoutingTable(
      long version,
      List<Route> routes,
      List<ServicePolicy> services,
      Map<String, Organisation> organisationsByKey,
      boolean apiKeysRequired,
      IngressLimits limits) {
    this.version = version;
    this.routesByHost = groupByHost(routes);
    Map<String, ServicePolicy> byName = new HashMap<>();
    services.forEach(service -> byName.put(service.name(), service));
    this.servicesByName = Map.copyOf(byName);
    this.organisationsByKey = Map.copyOf(organisationsByKey);
    this.apiKeysRequired = apiKeysRequired;
    this.limits = limits;
  }

  /**
   * Returns the version of the snapshot.
   *
   * @return the version; a higher one replaces a lower one
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits on requests and connections of callers.
   *
   * @return the limits
   */
  public IngressLimits limits() {
    return limits;
  }

  /**
   * Returns all routes.
   *
   * @return a new list of the routes
   */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns the number of routes.
   *
   * @return the number of routes
   */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the route of a request.
   *
   * @param host the host in the request, in any case and with or without a port
   * @param path the path without the query
   * @return the route with the longest matching prefix, or empty if none matches
   */
  public Optional<Route> route(String host, String path) {
    int colon = host.lastIndexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routesByHost.getOrDefault(name, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the policy of a service.
   *
   * @param name the name of the service
   * @return the policy, or empty if the service is unknown
   */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(servicesByName.get(name));
  }

  /**
   * Returns the organisation that an API key identifies.
   *
   * @param key the API key
   * @return the organisation, or empty if the key is unknown
   */
  public Optional<Organisation> organisation(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  /**
   * Returns all organisations that have an API key.
   *
   * @return a new set of the organisations
   */
  public Set<Organisation> organisations() {
    return Set.copyOf(organisationsByKey.values());
  }

  /**
   * Returns whether requests on a route require an API key.
   *
   * @param route the route
   * @return true if an API key is required
   */
  public boolean requiresApiKey(Route route) {
    return apiKeysRequired && !route.anonymous();
  }

  private static Map<String, List<Route>> groupByHost(List<Route> routes) {
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
