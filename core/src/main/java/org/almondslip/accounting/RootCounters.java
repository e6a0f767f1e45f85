package org.almondslip.accounting;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.almondslip.catalog.Flow;
import org.almondslip.protocol.wire.RootExchange;
import org.almondslip.protocol.wire.RootSnapshot;

/**
 * Cumulative counters of all data centres as the root of one of them holds them.
 *
 * <p>Counters and lifts are merged by maximum, so repeated and reordered messages change nothing.
 */
final class RootCounters {

  /** Waves without backlog after which a flow counts as idle. */
  private static final long IDLE_WAVES = 2;

  /** Data centre whose counters are kept here. */
  private final String dataCentre;

  /** Waves that a flow stays active after its last service or backlog. */
  private final long activeWaves;

  /** Flows by identity. */
  private final IntFunction<Optional<Flow>> flows;

  /** State of each flow. */
  private final Map<Integer, RootFlow> entries = new TreeMap<>();

  /** Last exchange of each other data centre. */
  private final Map<String, Remote> remotes = new HashMap<>();

  /** Virtual time of each pool, in microseconds. */
  private final Map<String, Long> virtualTimes = new HashMap<>();

  /**
   * Creates counters at zero.
   *
   * @param dataCentre the data centre whose counters are kept here
   * @param activeWaves the waves that a flow stays active
   * @param flows the flows by identity
   */
  RootCounters(String dataCentre, long activeWaves, IntFunction<Optional<Flow>> flows) {
    this.dataCentre = dataCentre;
    this.activeWaves = activeWaves;
    this.flows = flows;
  }

  /**
   * Adds charges of the own data centre.
   *
   * @param charges the charges by flow identity, in microseconds divided by share
   * @param wave the current wave
   */
  void add(Map<Integer, Long> charges, long wave) {
    charges.forEach(
        (id, micros) -> {
          RootFlow flow = flow(id);
          flow.raise(dataCentre, flow.counter(dataCentre) + micros, wave);
        });
  }

  /**
   * Takes back charges that are reported to another root.
   *
   * @param charges the charges by flow identity
   */
  void retract(Map<Integer, Long> charges) {
    charges.forEach((id, micros) -> flow(id).counters.merge(dataCentre, -micros, Long::sum));
  }

  /**
   * Returns whether any counter of the own data centre is known.
   *
   * @return true when there is one
   */
  boolean isInformed() {
    return entries.values().stream().anyMatch(flow -> flow.counter(dataCentre) > 0);
  }

  /**
   * Merges the counters of another data centre.
   *
   * @param exchange the message
   * @param wave the current wave
   */
  void merge(RootExchange exchange, long wave) {
    if (exchange.getDataCentre().equals(dataCentre)) {
      return;
    }
    Remote remote = remotes.computeIfAbsent(exchange.getDataCentre(), name -> new Remote());
    Set<Integer> backlogged = new HashSet<>();
    boolean behind = exchange.getFlowIdCount() == 0;
    for (int index = 0; index < exchange.getFlowIdCount(); index++) {
      RootFlow flow = flow(exchange.getFlowId(index));
      long counter = exchange.getCounterUs(index);
      behind |= counter < flow.counter(exchange.getDataCentre());
      flow.raise(exchange.getDataCentre(), counter, wave);
      if (index < exchange.getLiftUsCount()) {
        flow.lift = Math.max(flow.lift, exchange.getLiftUs(index));
      }
      if (index < exchange.getReceiverCounterUsCount()) {
        flow.raise(dataCentre, exchange.getReceiverCounterUs(index), wave);
      }
      if (exchange.getBacklogged(index)) {
        backlogged.add(exchange.getFlowId(index));
      }
    }
    remote.behind = behind;
    if (exchange.getEpoch() >= remote.epoch) {
      remote.epoch = exchange.getEpoch();
      remote.wave = wave;
      remote.agents = exchange.getAgents();
      remote.backlogged = backlogged;
    }
  }

  /**
   * Merges the counters of a snapshot.
   *
   * @param snapshot the message
   * @param wave the current wave
   * @return true when the sender lacks counters that are known here
   */
  boolean merge(RootSnapshot snapshot, long wave) {
    boolean behind = snapshot.getFlowIdCount() == 0 && isInformed();
    for (int index = 0; index < snapshot.getFlowIdCount(); index++) {
      RootFlow flow = flow(snapshot.getFlowId(index));
      behind |= snapshot.getCounterUs(index) < flow.counter(dataCentre);
      flow.raise(dataCentre, snapshot.getCounterUs(index), wave);
      flow.lift = Math.max(flow.lift, snapshot.getLiftUs(index));
    }
    return behind;
  }

  /**
   * Returns whether a data centre has sent its counters in a wave.
   *
   * @param name the data centre
   * @param wave the wave
   * @return true when it has
   */
  boolean hasExchanged(String name, long wave) {
    Remote remote = remotes.get(name);
    return remote != null && remote.wave >= wave;
  }

  /**
   * Marks flows as backlogged and lifts those that have become so after an idle time.
   *
   * @param backlogged the flows with requests waiting in the own data centre
   * @param wave the current wave
   */
  void lift(Collection<Integer> backlogged, long wave) {
    Set<Integer> all = new HashSet<>(backlogged);
    remotes.values().stream()
        .filter(remote -> wave - remote.wave <= IDLE_WAVES)
        .forEach(remote -> all.addAll(remote.backlogged));
    Set<Integer> risen = new HashSet<>();
    for (int id : all) {
      RootFlow flow = flow(id);
      if (wave - flow.backloggedWave > IDLE_WAVES) {
        risen.add(id);
      }
    }
    Map<Integer, FlowState> others = states(wave);
    others.keySet().removeAll(risen);
    VirtualTime.ofPools(others, flows)
        .forEach((pool, time) -> virtualTimes.merge(pool, time, Math::max));
    risen.forEach(id -> flow(id).liftTo(virtualTimes.getOrDefault(pool(id), 0L)));
    all.forEach(id -> flow(id).touch(wave));
  }

  /**
   * Returns the states of the active flows.
   *
   * @param wave the current wave
   * @return the states by flow identity
   */
  Map<Integer, FlowState> states(long wave) {
    Map<Integer, FlowState> states = new HashMap<>();
    entries.forEach(
        (id, flow) -> {
          if (wave - flow.activeWave <= activeWaves) {
            boolean backlogged = wave - flow.backloggedWave <= IDLE_WAVES;
            states.put(id, new FlowState(flow.account(), backlogged));
          }
        });
    return states;
  }

  /**
   * Returns the number of agents in the other data centres.
   *
   * @return the number
   */
  int remoteAgents() {
    return remotes.values().stream().mapToInt(remote -> remote.agents).sum();
  }

  /**
   * Builds the message to the root of another data centre.
   *
   * @param receiver the data centre of the receiver
   * @param epoch the number of the wave
   * @param backlogged the flows with requests waiting in the own data centre
   * @param agents the number of agents in the own data centre
   * @param wave the current wave
   * @return the message
   */
  RootExchange exchange(
      String receiver, long epoch, Collection<Integer> backlogged, int agents, long wave) {
    Remote remote = remotes.get(receiver);
    boolean receiverBehind = remote != null && remote.behind;
    RootExchange.Builder exchange =
        RootExchange.newBuilder().setDataCentre(dataCentre).setEpoch(epoch).setAgents(agents);
    entries.forEach(
        (id, flow) -> {
          if (wave - flow.activeWave <= activeWaves || backlogged.contains(id)) {
            exchange.addFlowId(id);
            exchange.addCounterUs(flow.counter(dataCentre));
            exchange.addLiftUs(flow.lift);
            exchange.addBacklogged(backlogged.contains(id));
            if (receiverBehind) {
              exchange.addReceiverCounterUs(flow.counter(receiver));
            }
          }
        });
    return exchange.build();
  }

  /**
   * Builds the message to the successor.
   *
   * @param epoch the number of the wave
   * @param wave the current wave
   * @param all whether flows that are not active are included
   * @return the message
   */
  RootSnapshot snapshot(long epoch, long wave, boolean all) {
    RootSnapshot.Builder snapshot = RootSnapshot.newBuilder().setEpoch(epoch);
    entries.forEach(
        (id, flow) -> {
          if (all || wave - flow.activeWave <= activeWaves) {
            snapshot.addFlowId(id);
            snapshot.addCounterUs(flow.counter(dataCentre));
            snapshot.addLiftUs(flow.lift);
          }
        });
    return snapshot.build();
  }

  /**
   * Returns the pool of a flow.
   *
   * @param id the identity of the flow
   * @return the pool, empty when the flow is unknown
   */
  private String pool(int id) {
    return flows.apply(id).map(Flow::pool).orElse("");
  }

  /**
   * Returns the state of a flow.
   *
   * @param id the identity of the flow
   * @return the state, created when the flow is new
   */
  private RootFlow flow(int id) {
    return entries.computeIfAbsent(id, key -> new RootFlow());
  }

  /** What is known of another data centre besides its counters. */
  private static final class Remote {

    /** Number of the last exchange. */
    private long epoch;

    /** Own wave in which the last exchange arrived. */
    private long wave;

    /** Number of agents in the data centre. */
    private int agents;

    /** Whether the last exchange showed smaller counters than are known here. */
    private boolean behind;

    /** Flows with requests waiting in the data centre. */
    private Set<Integer> backlogged = Set.of();
  }

  /** Counters of one flow. */
  private static final class RootFlow {

    /** Wave of a flow that has never been seen. */
    private static final long NEVER = -1_000_000L;

    /** Cumulative charge by data centre, in microseconds divided by share. */
    private final Map<String, Long> counters = new HashMap<>();

    /** Sum of all lifts, in microseconds. */
    private long lift;

    /** Last wave with service or backlog. */
    private long activeWave = NEVER;

    /** Last wave with backlog. */
    private long backloggedWave = NEVER;

    /**
     * Returns the counter of a data centre.
     *
     * @param dataCentre the data centre
     * @return the counter
     */
    private long counter(String dataCentre) {
      return counters.getOrDefault(dataCentre, 0L);
    }

    /**
     * Raises the counter of a data centre; a smaller value changes nothing.
     *
     * @param dataCentre the data centre
     * @param value the value
     * @param wave the current wave
     */
    private void raise(String dataCentre, long value, long wave) {
      if (value > counter(dataCentre)) {
        counters.put(dataCentre, value);
        activeWave = wave;
      }
    }

    /**
     * Raises the lift so that the account reaches a value.
     *
     * @param account the value, in microseconds
     */
    private void liftTo(long account) {
      lift += Math.max(0, account - account());
    }

    /**
     * Marks the flow as backlogged.
     *
     * @param wave the current wave
     */
    private void touch(long wave) {
      activeWave = wave;
      backloggedWave = wave;
    }

    /**
     * Returns the account.
     *
     * @return slot time divided by share plus lifts, in microseconds
     */
    private long account() {
      return lift + counters.values().stream().mapToLong(Long::longValue).sum();
    }
  }
}
