package org.almondslip.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;

/** Connected agents and which of them may get requests of a flow. */
final class AgentTable {

  /** Connections by their number. */
  private final Map<Long, AgentLink> links = new LinkedHashMap<>();

  /** Number of the newest connection of each agent instance. */
  private final Map<String, Long> newestByInstance = new HashMap<>();

  /** Ejected targets. */
  private final OutlierEjector ejector;

  /** Attempts in flight. */
  private final InFlightTable inFlight;

  /** Catalog in force. */
  private Catalog catalog = Catalog.EMPTY;

  /** Instances that are marked leaving. */
  private Set<String> leaving = Set.of();

  /**
   * Creates an empty table.
   *
   * @param ejector the ejected targets
   * @param inFlight the attempts in flight
   */
  AgentTable(OutlierEjector ejector, InFlightTable inFlight) {
    this.ejector = ejector;
    this.inFlight = inFlight;
  }

  /**
   * Replaces the catalog.
   *
   * @param next the catalog in force
   */
  void onCatalog(Catalog next) {
    catalog = next;
  }

  /**
   * Replaces the instances that get no new work.
   *
   * @param instances the instances that are marked leaving
   */
  void onLeaving(Set<String> instances) {
    leaving = Set.copyOf(instances);
  }

  /**
   * Returns whether an agent process already has a connection for new work. A second one that the
   * same process opens only announces its start and is closed at once.
   *
   * @param peer the agent process
   * @return true when a connection to this incarnation is open
   */
  boolean hasConnectionTo(PeerIdentity peer) {
    AgentLink link = links.get(newestByInstance.getOrDefault(peer.instanceId(), -1L));
    return link != null && link.peer().peer().incarnation() == peer.incarnation();
  }

  /**
   * Adds a connection, which replaces an older one of the same instance for new work.
   *
   * @param peer the connection
   * @return the link
   */
  AgentLink open(Peer peer) {
    AgentLink link = new AgentLink(peer);
    links.put(peer.id(), link);
    newestByInstance.put(peer.peer().instanceId(), peer.id());
    return link;
  }

  /**
   * Removes a connection.
   *
   * @param peer the connection
   */
  void close(Peer peer) {
    links.remove(peer.id());
    newestByInstance.remove(peer.peer().instanceId(), peer.id());
  }

  /**
   * Finds a connection.
   *
   * @param id the number of the connection
   * @return the link, or empty when it is closed
   */
  Optional<AgentLink> find(long id) {
    return Optional.ofNullable(links.get(id));
  }

  /**
   * Returns all connections.
   *
   * @return the links
   */
  Collection<AgentLink> all() {
    return links.values();
  }

  /**
   * Returns the agents that may get requests of a flow now.
   *
   * <p>Ejected targets are left out unless all targets of the flow are ejected, since a target that
   * may fail is better than none.
   *
   * @param flowId the identity of the flow
   * @param now the current time, in milliseconds
   * @return the links
   */
  List<AgentLink> candidates(int flowId, long now) {
    Set<String> reachableTargets = catalog.targetsOf(flowId);
    List<AgentLink> usable = new ArrayList<>();
    List<AgentLink> withinAllowance = new ArrayList<>();
    boolean allEjected = true;
    for (AgentLink link : links.values()) {
      if (reachableTargets.contains(link.target()) && isUsable(link)) {
        usable.add(link);
        int allowance = ejector.allowance(link.target(), now);
        allEjected &= allowance == 0;
        if (allowance > inFlight.countAt(link.target())) {
          withinAllowance.add(link);
        }
      }
    }
    return allEjected ? usable : withinAllowance;
  }

  /**
   * Returns which requests of a flow an agent may get. A target at which a request has failed is
   * left out unless it failed at all others too.
   *
   * @param link the agent
   * @param candidates the agents that may get requests of the flow
   * @return the condition
   */
  static Predicate<PendingRequest> eligibleFor(AgentLink link, List<AgentLink> candidates) {
    return pending ->
        !pending.hasFailedAt(link.target())
            || candidates.stream().allMatch(other -> pending.hasFailedAt(other.target()));
  }

  /**
   * Returns whether an agent takes any new work.
   *
   * @param link the agent
   * @return true when it is up, active in the catalog and reached by its newest connection
   */
  private boolean isUsable(AgentLink link) {
    boolean active =
        catalog
            .target(link.target())
            .filter(target -> target.state() == Target.State.ACTIVE)
            .isPresent();
    Long current = newestByInstance.get(link.peer().peer().instanceId());
    return active
        && link.acceptsRequests()
        && !leaving.contains(link.peer().peer().instanceId())
        && current != null
        && current == link.peer().id();
  }
}
