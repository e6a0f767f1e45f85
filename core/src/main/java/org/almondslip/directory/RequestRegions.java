package org.almondslip.directory;

import java.util.Optional;
import java.util.function.Supplier;
import org.almondslip.residency.AllowedRegions;

/**
 * Regions in which one request may be served: those that its route and organisation allowed when it
 * arrived and that they still allow.
 *
 * <p>Addresses requests that wait, are retried or are resumed while the operator changes the rules.
 * The rules are derived once for each routing table, since the regions are checked for each target
 * whenever a target is selected.
 */
public final class RequestRegions {

  private final Supplier<Optional<RoutingTable>> tables;

  private final Route route;

  private final Optional<Organisation> organisation;

  private final Optional<String> apiKey;

  private final AllowedRegions atArrival;

  /** Table from which {@link #allowed} was derived, empty before the first check. */
  private Optional<RoutingTable> checkedTable = Optional.empty();

  private AllowedRegions allowed;

  /**
   * Creates the rules of a request.
   *
   * @param tables returns the current routing table
   * @param arrivalTable the routing table when the headers of the request arrived; that of its
   *     route may be later, since a body may take seconds to arrive
   * @param route the route of the request
   * @param organisation the organisation of the request, empty without one
   * @param apiKey the API key of the request, empty without one
   */
  public RequestRegions(
      Supplier<Optional<RoutingTable>> tables,
      Optional<RoutingTable> arrivalTable,
      Route route,
      Optional<Organisation> organisation,
      Optional<String> apiKey) {
    this.tables = tables;
    this.route = route;
    this.organisation = organisation;
    this.apiKey = apiKey;
    this.atArrival =
        route
            .allowedRegions()
            .and(organisation.map(Organisation::allowedRegions).orElse(AllowedRegions.ANY))
            .and(arrivalTable.map(this::allowedBy).orElse(AllowedRegions.ANY));
    this.allowed = atArrival;
  }

  /**
   * Returns the regions in which the request may be served now.
   *
   * @return the regions that the rules at arrival and the current ones both allow
   */
  public AllowedRegions allowed() {
    Optional<RoutingTable> current = tables.get();
    if (current.isPresent() && (checkedTable.isEmpty() || checkedTable.get() != current.get())) {
      checkedTable = current;
      allowed = atArrival.and(allowedBy(current.get()));
    }
    return allowed;
  }

  /** Returns the regions that a table allows; a renamed organisation is found by its key. */
  private AllowedRegions allowedBy(RoutingTable table) {
    return table
        .allowedRegions(route, organisation)
        .and(
            apiKey
                .flatMap(table::organisation)
                .map(Organisation::allowedRegions)
                .orElse(AllowedRegions.ANY));
  }

  /**
   * Returns whether the request may be sent to a target.
   *
   * @param target the target
   * @return true if the region of the target is allowed
   */
  public boolean permits(TargetRecord target) {
    return allowed().permits(target.region());
  }
}
