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
 * Agents of each data centre in the order of their rendezvous hash, read as a heap-shaped tree.
 *
 * <p>Leaving agents are ordered last, so that they are leaves of the tree when they stop.
 */
public final class DigestTree {

  /** Tree without agents. */
  public static final DigestTree EMPTY = new DigestTree(new TreeMap<>());

  /** Children of an inner node. */
  public static final int FAN_OUT = 3;

  /** Order of the instances. */
  private static final RendezvousOrder ORDER = new RendezvousOrder("digest");

  /** Instance ids in heap order by data centre. */
  private final SortedMap<String, List<String>> heaps;

  /**
   * Creates a tree.
   *
   * @param heaps the instance ids in heap order by data centre
   */
  private DigestTree(SortedMap<String, List<String>> heaps) {
    this.heaps = heaps;
  }

  /**
   * Builds the trees of all data centres.
   *
   * @param members the members of the fleet; routers are skipped
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
   * @return the names in alphabetical order
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
   * @return the first reachable agent, or empty when there is none
   */
  public Optional<String> root(String dataCentre, Predicate<String> reachable) {
    return agents(dataCentre).stream().filter(reachable).findFirst();
  }

  /**
   * Returns the agent that takes over from the root of a data centre.
   *
   * @param dataCentre the data centre
   * @param reachable which agents can be reached
   * @return the second reachable agent, or empty when there is none
   */
  public Optional<String> successor(String dataCentre, Predicate<String> reachable) {
    return agents(dataCentre).stream().filter(reachable).skip(1).findFirst();
  }

  /**
   * Returns the parent of an agent: the nearest reachable ancestor, or the first reachable agent
   * before it when no ancestor can be reached. A parent always precedes its children in the heap,
   * so agents that disagree about who can be reached cannot form a cycle.
   *
   * @param dataCentre the data centre
   * @param instanceId the agent
   * @param reachable which agents can be reached
   * @return the parent, or empty when the agent acts as root or is not in the tree
   */
  public Optional<String> parent(
      String dataCentre, String instanceId, Predicate<String> reachable) {
    List<String> heap = agents(dataCentre);
    int own = heap.indexOf(instanceId);
    for (int index = parentIndex(own); index >= 0; index = parentIndex(index)) {
      if (reachable.test(heap.get(index))) {
        return Optional.of(heap.get(index));
      }
    }
    return heap.subList(0, Math.max(0, own)).stream().filter(reachable).findFirst();
  }

  /**
   * Returns the children of an agent when all agents can be reached.
   *
   * @param dataCentre the data centre
   * @param instanceId the agent
   * @return the instance ids
   */
  public List<String> children(String dataCentre, String instanceId) {
    List<String> heap = agents(dataCentre);
    int own = heap.indexOf(instanceId);
    int first = own * FAN_OUT + 1;
    return own < 0 || first >= heap.size()
        ? List.of()
        : List.copyOf(heap.subList(first, Math.min(heap.size(), first + FAN_OUT)));
  }

  /**
   * Returns the number of levels below an agent.
   *
   * @param dataCentre the data centre
   * @param instanceId the agent
   * @return 0 for a leaf
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
   * @return the index of the parent, negative when there is none
   */
  private static int parentIndex(int index) {
    return index <= 0 ? -1 : (index - 1) / FAN_OUT;
  }
}
