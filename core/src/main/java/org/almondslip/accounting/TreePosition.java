package org.almondslip.accounting;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.almondslip.membership.PeerIdentity;

/** Position of one agent in the digest tree, considering which other agents are reachable. */
final class TreePosition {

  private final Member self;

  /** Agents whose connection is closed. */
  private final Set<String> unreachable = new HashSet<>();

  /** Last known incarnation of each peer. */
  private final Map<String, Long> incarnations = new HashMap<>();

  /** Tree of all data centres. */
  private DigestTree tree = DigestTree.EMPTY;

  /**
   * Creates a position in an empty tree.
   *
   * @param self the identity of this agent
   */
  TreePosition(Member self) {
    this.self = self;
  }

  /**
   * Replaces the members of the fleet.
   *
   * @param members all processes; routers are ignored
   */
  void onMembers(Collection<Member> members) {
    tree = DigestTree.of(members);
    Set<String> known = new HashSet<>();
    tree.dataCentres().forEach(name -> known.addAll(tree.agents(name)));
    unreachable.retainAll(known);
    incarnations.keySet().retainAll(known);
  }

  /**
   * Records that an agent can be reached.
   *
   * @param peer the agent
   * @return true when it has the same incarnation as at its last connection
   */
  boolean onOpen(PeerIdentity peer) {
    unreachable.remove(peer.instanceId());
    Long before = incarnations.put(peer.instanceId(), peer.incarnation());
    return before != null && before == peer.incarnation();
  }

  /**
   * Records that an agent cannot be reached.
   *
   * @param instanceId the agent
   */
  void onClosed(String instanceId) {
    unreachable.add(instanceId);
  }

  /**
   * Returns the agent that receives the reports of this one.
   *
   * @return the parent, or empty when this agent acts as root
   */
  Optional<String> parent() {
    return tree.parent(self.dataCentre(), self.instanceId(), this::isReachable);
  }

  /**
   * Returns the children in the tree of all agents, including unreachable ones.
   *
   * @return the instance ids
   */
  List<String> children() {
    return tree.children(self.dataCentre(), self.instanceId());
  }

  /**
   * Returns the number of levels below this agent.
   *
   * @return 0 for a leaf
   */
  int height() {
    return tree.height(self.dataCentre(), self.instanceId());
  }

  /**
   * Returns the number of levels below the root of the data centre.
   *
   * @return the height of the tree
   */
  int treeHeight() {
    return tree.agents(self.dataCentre()).stream()
        .findFirst()
        .map(root -> tree.height(self.dataCentre(), root))
        .orElse(0);
  }

  /**
   * Returns the agent that becomes root when the root of the data centre fails.
   *
   * @return the instance id, or empty when there is only one agent
   */
  Optional<String> successor() {
    return tree.successor(self.dataCentre(), this::isReachable);
  }

  /**
   * Returns the roots of the other data centres.
   *
   * @return the instance ids by data centre
   */
  Map<String, String> otherRoots() {
    Map<String, String> roots = new HashMap<>();
    for (String name : tree.dataCentres()) {
      if (!name.equals(self.dataCentre())) {
        tree.root(name, this::isReachable).ifPresent(root -> roots.put(name, root));
      }
    }
    return roots;
  }

  /**
   * Returns the agents to which this agent needs connections: its parent and, while that cannot be
   * reached, its replacement. A root needs connections to the other roots.
   *
   * @return the instance ids
   */
  Set<String> peersToDial() {
    Set<String> ids = new HashSet<>();
    Optional<String> parent = parent();
    parent.ifPresent(ids::add);
    tree.parent(self.dataCentre(), self.instanceId(), id -> true).ifPresent(ids::add);
    if (parent.isEmpty()) {
      ids.addAll(otherRoots().values());
      tree.dataCentres().stream()
          .filter(name -> !name.equals(self.dataCentre()))
          .forEach(name -> tree.root(name, id -> true).ifPresent(ids::add));
    }
    return ids;
  }

  /**
   * Returns whether an agent is not known to be unreachable.
   *
   * @param instanceId the agent
   * @return true unless its last connection was closed or could not be opened
   */
  private boolean isReachable(String instanceId) {
    return !unreachable.contains(instanceId);
  }
}
