package org.almondslip.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.almondslip.protocol.wire.Role;

/**
 * Trees of the agents of each data centre, laid out as a heap in the order of the rendezvous hash.
 *
 * <p>Leaving agents come last, so that they are leaves of the tree when they stop.
 */
public final class DigestTree {

  /** Trees without agents. */
  public static final DigestTree EMPTY = new DigestTree(new TreeMap<>());

  /** Maximum number of children of a node. */
  public static final int FAN_OUT = 3;

  private static final RendezvousOrder ORDER = new RendezvousOrder("digest");

  /** Instance ids in heap order by data centre. */
  private final SortedMap<String, List<String>> heaps;

  /**
   * Creates the trees.
   *
   * @param heaps the instance ids in heap order by data centre
   */
  private DigestTree(SortedMap<String, List<String>> heaps) {
    this.heaps = heaps;
  }

  /**
   * Builds the trees of all data centres from the members.
   *
   * @param members the members of the fleet; routers are ignored
   * @return the trees
   */
  public static DigestTree of(Collection<Member> members) {
    Map<String, Member> byId = new TreeMap<>(ORDER);
    members.stream()
        .filter(member -> member.role() == Role.AGENT)
        .forEach(member -> byId.put(member.instanceId(), member));
    SortedMap<String, List<String>> heaps = new TreeMap<>();
    byId.values().stream()
        .sorted(Comparator.comparing(Member::leaving))
        .forEach(
            member ->
                heaps
                    .computeIfAbsent(member.dataCentre(), name -> new ArrayList<>())
                    .add(member.instanceId()));
    return new DigestTree(heaps);
  }

  /**
   * Returns the data centres that have agents.
   *
   * @return the names in ascending order
   */
  public List<String> dataCentres() {
    return List.copyOf(heaps.keySet());
  }

  /**
   * Returns the agents of a data centre.
   *
   * @param dataCentre the data centre
   * @return the instance ids in heap order
   */
  public List<String> agents(String dataCentre) {
    return heaps.getOrDefault(dataCentre, List.of());
  }

  /**
   * Returns the root of a data centre.
   *
   * @param dataCentre the data centre
   * @param reachable which agents can be reached
   * @return the first reachable agent in heap order, or empty if there is none
   */
  public Optional<String> root(String dataCentre, Predicate<String> reachable) {
    return agents(dataCentre).stream().filter(reachable).findFirst();
  }

  /**
   * Returns the agent that replaces the root of a data centre if the root fails.
   *
   * @param dataCentre the data centre
   * @param reachable which agents can be reached
   * @return the second reachable agent in heap order, or empty if there is none
   */
  public Optional<String> successor(String dataCentre, Predicate<String> reachable) {
    return agents(dataCentre).stream().filter(reachable).skip(1).findFirst();
  }

  /**
   * Returns the parent of an agent: the nearest reachable ancestor, or else the first reachable
   * agent that precedes it. A parent always precedes its children in heap order, so agents with
   * different views of reachability cannot form a cycle.
   *
   * @param dataCentre the data centre
   * @param instanceId the agent
   * @param reachable which agents can be reached
   * @return the parent, or empty if the agent acts as root or is not in the tree
   */
  public Optional<String> parent(
      String dataCentre, String instanceId, Predicate<String> reachable) {
    List<String> heap = agents(dataCentre);
    int ownIndex = heap.indexOf(instanceId);
    for (int index = parentIndex(ownIndex); index >= 0; index = parentIndex(index)) {
      if (reachable.test(heap.get(index))) {
        return Optional.of(heap.get(index));
      }
    }
    return heap.subList(0, Math.max(0, ownIndex)).stream().filter(reachable).findFirst();
  }

  /**
   * Returns the children of an agent, assuming that all agents are reachable.
   *
   * @param dataCentre the data centre
   * @param instanceId the agent
   * @return the instance ids, empty for a leaf or an unknown agent
   */
  public List<String> children(String dataCentre, String instanceId) {
    List<String> heap = agents(dataCentre);
    int ownIndex = heap.indexOf(instanceId);
    int firstChild = ownIndex * FAN_OUT + 1;
    return ownIndex < 0 || firstChild >= heap.size()
        ? List.of()
        : List.copyOf(heap.subList(firstChild, Math.min(heap.size(), firstChild + FAN_OUT)));
  }

  /**
   * Returns the number of levels below an agent.
   *
   * @param dataCentre the data centre
   * @param instanceId the agent
   * @return the number of levels, 0 for a leaf or an unknown agent
   */
  public int height(String dataCentre, String instanceId) {
    int size = agents(dataCentre).size();
    int index = agents(dataCentre).indexOf(instanceId);
    int height = 0;
    while (index >= 0 && index * FAN_OUT + 1 < size) {
      index = index * FAN_OUT + 1;
      height++;
    }
    return height;
  }

  /**
   * Returns the heap index of a parent.
   *
   * @param index the index of the child
   * @return the index of the parent, -1 if there is none
   */
  private static int parentIndex(int index) {
    return index <= 0 ? -1 : (index - 1) / FAN_OUT;
  }
}
