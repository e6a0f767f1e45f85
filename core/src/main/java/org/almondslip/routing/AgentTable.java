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

/** Connected agents, and the selection of candidates for a flow. */
final class AgentTable {

  /** Connections by id. */
  private final Map<Long, AgentLink> links = new LinkedHashMap<>();

  /** Id of the newest connection of each agent instance. */
  private final Map<String, Long> newestByInstance = new HashMap<>();

  private final OutlierEjector ejector;

  private final InFlightTable inFlight;

  private Catalog catalog = Catalog.EMPTY;

  /** Instances that are marked as leaving. */
  private Set<String> leaving = Set.of();

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
   * Replaces the set of instances that receive no new requests.
   *
   * @param instances the instances that are marked as leaving
   */
  void onLeaving(Set<String> instances) {
    leaving = Set.copyOf(instances);
  }

  /**
   * Returns whether an agent process already has a connection for new requests. A second connection
   * from the same process only announces its start and is closed immediately.
   *
   * @param peer the agent process
   * @return true when a connection to this incarnation is open
   */
  boolean hasConnectionTo(PeerIdentity peer) {
    AgentLink link = links.get(newestByInstance.getOrDefault(peer.instanceId(), -1L));
    return link != null && link.peer().peer().incarnation() == peer.incarnation();
  }

  /**
   * Adds a connection. It replaces an older one of the same instance for new requests.
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
   * Returns the connection with an id.
   *
   * @param id the id of the connection
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
   * Returns the agents that may currently receive requests of a flow.
   *
   * <p>Ejected targets are excluded unless all usable targets of the flow are ejected: a target
   * that may fail is better than none.
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
   * Returns a condition on the requests that an agent may receive. A request is not sent to a
   * target at which it has failed unless it has failed at the targets of all candidates.
   *
   * @param link the agent
   * @param candidates the candidates of the flow
   * @return the condition
   */
  static Predicate<PendingRequest> eligibleFor(AgentLink link, List<AgentLink> candidates) {
    return pending ->
        !pending.hasFailedAt(link.target())
            || candidates.stream().allMatch(other -> pending.hasFailedAt(other.target()));
  }

  /**
   * Returns whether an agent can receive new requests.
   *
   * @param link the agent
   * @return true when it accepts requests, its target is active, it is not leaving, and the link is
   *     its newest connection
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
