package org.almondslip.bench.slopes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.almondslip.membership.Membership;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.StoreResult;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Costs of the instance list by the nodes that it holds. */
final class MembershipSlopes {

  /** Nodes known; 1,010 is the planned scale. */
  private static final int[] NODES = {101, 404, 707, 1_010};

  /** Reads in each round. */
  private static final int READS = 20;

  /** Time between reads, more than the interval with its jitter, in milliseconds. */
  private static final long READ_MILLIS = 6_500;

  /** Not instantiable. */
  private MembershipSlopes() {}

  /**
   * Measures.
   *
   * @return the costs
   */
  static List<Series> measure() {
    return Sweep.TIMED.run("membership", "nodes known", NODES, MembershipSlopes::reads);
  }

  /**
   * Measures reads of a list in which one instance has begun or ended leaving since the last.
   *
   * @param nodes the number of instances
   * @return the cost of a read, with the tree of digests that an agent builds from it
   */
  private static Map<String, Double> reads(int nodes) {
    List<Member> odd = members(nodes, true);
    List<Member> even = members(nodes, false);
    Clock.Manual clock = new Clock.Manual(1_000_000);
    int[] read = {0};
    Membership membership =
        new Membership(
            RouterEnd.IDENTITY,
            callback -> callback.accept(new StoreResult.Success<>(read[0]++ % 2 == 0 ? even : odd)),
            clock,
            RandomSource.SPLIT_MIX_64.create(1L),
            changed -> {});
    Map<String, Double> costs = new HashMap<>();
    costs.put(
        "heap_bytes",
        HeapUse.of(
            () -> {
              membership.onTick();
              return membership;
            }));
    ProcessorTime time = new ProcessorTime();
    ProcessorTime tree = new ProcessorTime();
    for (int i = 0; i < READS; i++) {
      clock.advance(READ_MILLIS);
      time.time(membership::onTick);
      tree.time(() -> DigestTree.of(membership.members()));
    }
    costs.put("read_us", time.takeMicros() / READS);
    costs.put("tree_us", tree.takeMicros() / READS);
    return costs;
  }

  /**
   * Builds a list of instances, two in five of them routers.
   *
   * @param nodes the number of instances
   * @param leaving whether the first one is leaving
   * @return the instances
   */
  private static List<Member> members(int nodes, boolean leaving) {
    return IntStream.range(0, nodes)
        .mapToObj(
            i ->
                new Member(
                    "instance-" + i,
                    i % 5 < 2 ? Role.ROUTER : Role.AGENT,
                    "region-" + i % 2,
                    "dc-" + i % 6,
                    "127.0.0.1:" + (10_000 + i),
                    i % 5 < 2 ? "" : "engine-" + i,
                    leaving && i == 0))
        .toList();
  }
}
