package org.almondslip.accounting;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.almondslip.protocol.wire.Frame;

/** Prints the largest frame of each type and the traffic of each kind of agent with 97 flows. */
final class ByteCostExperiment {

  private static final int SECONDS = 20;

  private ByteCostExperiment() {}

  /** Simulates six data centres; the first argument is the number of agents. */
  public static void main(String[] arguments) {
    int agents = Integer.parseInt(arguments[0]);
    FleetPlan plan =
        FleetPlan.BASE.withSize(agents, 6).withOrganisations(97).withCosts(1_000, 10_000);
    FleetHarness fleet = new FleetHarness(plan);
    fleet.run(15_000, List.of());
    fleet.bytes.clear();
    fleet.largestFrames.clear();
    fleet.run(SECONDS * 1_000L, List.of());
    for (Map.Entry<Frame.BodyCase, Integer> frame : fleet.largestFrames.entrySet()) {
      System.out.printf("%s largest=%d bytes%n", frame.getKey(), frame.getValue());
    }
    Map<String, Long> busiest = new TreeMap<>();
    List<Member> members = fleet.agents.values().stream().map(agent -> agent.member).toList();
    DigestTree tree = DigestTree.of(members);
    for (Member member : members) {
      long bytes = fleet.bytes.getOrDefault(member.instanceId(), 0L) / SECONDS;
      busiest.merge(kind(tree, member), bytes, Math::max);
    }
    System.out.println("bytes sent and received per second: " + busiest);
  }

  private static String kind(DigestTree tree, Member member) {
    List<String> heap = tree.agents(member.dataCentre());
    int index = heap.indexOf(member.instanceId());
    if (index <= 1) {
      return index == 0 ? "root" : "successor";
    }
    boolean leaf = tree.children(member.dataCentre(), member.instanceId()).isEmpty();
    return leaf ? "leaf" : "inner";
  }
}
