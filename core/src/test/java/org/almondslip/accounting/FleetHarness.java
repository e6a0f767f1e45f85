package org.almondslip.accounting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.Member;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates a fleet of agents with ledgers, schedulers and digest nodes on a manual clock. */
final class FleetHarness implements FlowDirectory {

  /** Step of the clock, in milliseconds. */
  private static final long STEP_MILLIS = 10;

  final FleetPlan plan;
  final UniformRandomProvider random;
  final Clock.Manual clock = new Clock.Manual(1_000_000L);
  final List<Flow> flows = new ArrayList<>();
  final Map<Integer, Flow> flowsById = new HashMap<>();
  final Map<String, SimulatedAgent> agents = new TreeMap<>();
  final Map<Integer, Long> started = new HashMap<>();
  final Map<String, Long> bytes = new TreeMap<>();
  final Map<Frame.BodyCase, Integer> largestFrames = new TreeMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Integer, Set<String>> reach = new HashMap<>();
  private long eventCount;
  private boolean partitioned;

  FleetHarness(FleetPlan plan) {
    this.plan = plan;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
    for (int index = 0; index < plan.organisations(); index++) {
      Flow flow = Flow.of("org" + index, "pool", 1);
      flows.add(flow);
      flowsById.put(flow.id(), flow);
      int organisation = index;
      Set<String> targets =
          IntStream.range(0, plan.agents())
              .filter(agent -> plan.reach().reaches(organisation, agent, plan))
              .mapToObj(agent -> "t" + agent)
              .collect(Collectors.toSet());
      reach.put(flow.id(), targets);
    }
    for (int index = 0; index < plan.agents(); index++) {
      add(index, 1);
    }
    sendMembers();
  }

  /** Starts an agent and replaces its earlier incarnation, if any. */
  SimulatedAgent add(int index, long incarnation) {
    String dc = "dc" + index % plan.dataCentres();
    Member member = new Member("i" + index, Role.AGENT, dc, dc, "", "t" + index, false);
    SimulatedAgent agent = new SimulatedAgent(this, member, index, incarnation);
    agents.put(member.instanceId(), agent);
    for (int flow = 0; flow < flows.size(); flow++) {
      if (plan.reach().offers(flow, index, plan)) {
        agent.setWaiting(flows.get(flow), plan.waiting());
      }
    }
    return agent;
  }

  void sendMembers() {
    List<Member> members = agents.values().stream().map(agent -> agent.member).toList();
    agents.values().forEach(agent -> agent.node.onMembers(members));
  }

  @Override
  public Set<String> targetsOf(int id) {
    return reach.getOrDefault(id, Set.of());
  }

  @Override
  public Optional<Flow> flow(int id) {
    return Optional.ofNullable(flowsById.get(id));
  }

  void partition(boolean value) {
    partitioned = value;
  }

  /** Removes an agent; its peers detect the closed connection after the given delay. */
  void kill(String id, long detectedAfterMillis) {
    agents.remove(id).stop();
    schedule(
        detectedAfterMillis, () -> agents.values().forEach(agent -> agent.node.onPeerClosed(id)));
  }

  /** Offers the given number of requests of a flow to each agent that the flow reaches. */
  void setWaiting(Flow flow, int waiting) {
    for (SimulatedAgent agent : agents.values()) {
      if (targetsOf(flow.id()).contains(agent.member.target())) {
        agent.setWaiting(flow, waiting);
      }
    }
  }

  /** Returns the largest difference between an account and the counted costs, in milliseconds. */
  long accountError() {
    long largest = 0;
    for (Flow flow : flows) {
      long uncounted =
          agents.values().stream().mapToLong(one -> one.ledger.uncountedMicros(flow.id())).sum();
      long counted = started.getOrDefault(flow.id(), 0L) * 1_000 - uncounted;
      for (SimulatedAgent agent : agents.values()) {
        FlowState state = agent.ledger.lastDigest().get(flow.id());
        long account = state == null ? 0 : state.accountMicros();
        largest = Math.max(largest, Math.abs(account - counted) / 1_000);
      }
    }
    return largest;
  }

  /** Sends a frame with the delay, loss and repetition of the plan. */
  void send(SimulatedAgent from, String to, Frame frame) {
    bytes.merge(from.member.instanceId(), (long) frame.getSerializedSize(), Long::sum);
    bytes.merge(to, (long) frame.getSerializedSize(), Long::sum);
    largestFrames.merge(frame.getBodyCase(), frame.getSerializedSize(), Math::max);
    int copies = random.nextDouble() < plan.repeated() ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (random.nextDouble() >= plan.lost()) {
        long delay = plan.delayMillis() + random.nextLong(plan.jitterMillis() + 1);
        schedule(delay, () -> deliver(from, to, frame));
      }
    }
  }

  private void deliver(SimulatedAgent from, String to, Frame frame) {
    SimulatedAgent receiver = agents.get(to);
    boolean cut =
        partitioned
            && receiver != null
            && !receiver.member.dataCentre().equals(from.member.dataCentre());
    if (receiver != null && !cut) {
      receiver.node.onFrame(from, frame);
    }
  }

  void schedule(long delay, Runnable action) {
    events.add(new Event(clock.millis() + delay, eventCount++, action));
  }

  /** Advances the clock and returns the largest gap of the given flows, in milliseconds. */
  long run(long millis, List<Flow> sampled) {
    long largest = 0;
    long end = clock.millis() + millis;
    while (clock.millis() < end) {
      clock.advance(STEP_MILLIS);
      while (!events.isEmpty() && events.peek().time <= clock.millis()) {
        events.poll().action.run();
      }
      agents.values().forEach(SimulatedAgent::tick);
      largest = Math.max(largest, gap(sampled));
    }
    return largest;
  }

  /** Returns the largest difference between the started costs of two flows, in milliseconds. */
  long gap(List<Flow> compared) {
    long smallest = Long.MAX_VALUE;
    long largest = Long.MIN_VALUE;
    for (Flow flow : compared) {
      long cost = started.getOrDefault(flow.id(), 0L);
      smallest = Math.min(smallest, cost);
      largest = Math.max(largest, cost);
    }
    return compared.isEmpty() ? 0 : largest - smallest;
  }

  FlowOffer offer(Flow flow, int waiting) {
    return FlowOffer.newBuilder()
        .setFlowId(flow.id())
        .setWaiting(waiting)
        .setEstimateMs((int) plan.meanCostMillis())
        .build();
  }

  /** Action scheduled for a time; actions of the same time run in the order of scheduling. */
  private record Event(long time, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }
}
