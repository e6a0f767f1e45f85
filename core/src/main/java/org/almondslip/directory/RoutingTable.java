package org.almondslip.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.almondslip.residency.AllowedRegions;

/** Immutable snapshot of all routes, services and organisations at one version. */
public final class RoutingTable {

  private final long version;

  /** Routes by lower-case host, ordered by descending length of the prefix. */
  private final Map<String, List<Route>> routesByHost;

  private final Map<String, ServicePolicy> servicesByName;

  private final Map<String, Organisation> organisationsByKey;

  /** Restrictions of routes by name. */
  private final Map<String, AllowedRegions> regionsByRoute = new HashMap<>();

  /** Restrictions of routes by host and prefix. */
  private final Map<String, AllowedRegions> regionsByLocation = new HashMap<>();

  /** Restrictions of organisations by name. */
  private final Map<String, AllowedRegions> regionsByOrganisation = new HashMap<>();

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
    for (Route route : routes) {
      restrict(regionsByRoute, route.name(), route.allowedRegions());
      restrict(regionsByLocation, location(route), route.allowedRegions());
    }
    organisationsByKey
        .values()
        .forEach(
            organisation ->
                restrict(
                    regionsByOrganisation, organisation.name(), organisation.allowedRegions()));
  }

  /** Adds a restriction to those of the same name, all of which bind. */
  private static void restrict(
      Map<String, AllowedRegions> regions, String name, AllowedRegions allowed) {
    if (!name.isEmpty() && allowed.isRestricted()) {
      regions.merge(name, allowed, AllowedRegions::and);
    }
  }

  /** Returns the host and prefix of a route, separated by a space, which hosts do not contain. */
  private static String location(Route route) {
    return route.host() + " " + route.prefix();
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
   * Returns the regions that this table allows for a request that arrived under an earlier table.
   *
   * @param route the route of the request in the earlier table
   * @param organisation the organisation of the request in the earlier table, empty without one
   * @return the regions that the route and the organisation allow; a route is found by its name and
   *     by its host and prefix, so that a restriction also binds a route that is renamed with it
   */
  public AllowedRegions allowedRegions(Route route, Optional<Organisation> organisation) {
    return regionsByRoute
        .getOrDefault(route.name(), AllowedRegions.ANY)
        .and(regionsByLocation.getOrDefault(location(route), AllowedRegions.ANY))
        .and(
            organisation
                .map(known -> regionsByOrganisation.get(known.name()))
                .orElse(AllowedRegions.ANY));
  }

  /**
   * Returns the regions that restrictions name but no data centre is in. They allow no target.
   *
   * @param known the regions of all data centres
   * @return the other regions by the route or organisation that names them
   */
  public Map<String, Set<String>> unknownRegions(Set<String> known) {
    Map<String, Set<String>> unknown = new TreeMap<>();
    regionsByRoute.forEach((name, regions) -> addUnknown(unknown, "route " + name, regions, known));
    regionsByOrganisation.forEach(
        (name, regions) -> addUnknown(unknown, "organisation " + name, regions, known));
    return unknown;
  }

  private static void addUnknown(
      Map<String, Set<String>> unknown, String owner, AllowedRegions regions, Set<String> known) {
    Set<String> names = new TreeSet<>(regions.names());
    names.removeAll(known);
    if (!names.isEmpty()) {
      unknown.put(owner, names);
    }
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
