package org.almondslip.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.Route;
import org.almondslip.directory.RoutingTable;

/**
 * Ranks of organisations, which are the same on all routers with the same routing table. A router
 * thus knows the rank of an organisation whose requests arrive only at other routers.
 */
final class OrganisationRanks {

  /** Ranks without a routing table: all organisations have the highest rank. */
  static final OrganisationRanks NONE = new OrganisationRanks(Map.of(), Map.of());

  /** Ranks of organisations that have one. */
  private final Map<String, Integer> byOrganisation;

  /** Highest rank of the routes of a service. */
  private final Map<String, Integer> byService;

  private OrganisationRanks(Map<String, Integer> byOrganisation, Map<String, Integer> byService) {
    this.byOrganisation = byOrganisation;
    this.byService = byService;
  }

  /**
   * Reads the ranks from a routing table.
   *
   * @param table the table
   * @return the ranks
   */
  static OrganisationRanks of(RoutingTable table) {
    Map<String, Integer> byOrganisation = new HashMap<>();
    for (Organisation organisation : table.organisations()) {
      organisation.priority().ifPresent(rank -> byOrganisation.put(organisation.name(), rank));
    }
    Map<String, Integer> byService = new HashMap<>();
    for (Route route : table.routes()) {
      route
          .shares()
          .forEach(share -> byService.merge(share.service(), route.priority(), Math::min));
    }
    return new OrganisationRanks(byOrganisation, byService);
  }

  /**
   * Returns the rank of an organisation. Without a rank of its own it has that of the most
   * important route of the service, whatever it requests, so that such organisations are equal.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @return the rank; 0 is the highest
   */
  int rank(String service, String organisation) {
    Integer own = byOrganisation.get(organisation);
    return own == null ? byService.getOrDefault(service, 0) : own;
  }
}
