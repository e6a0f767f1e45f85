package org.almondslip.accounting;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.almondslip.protocol.wire.RootExchange;
import org.almondslip.protocol.wire.RootSnapshot;

/**
 * Cumulative charge counters of all data centres, kept by the root of one of them.
 *
 * <p>A lift raises the account of a flow without service. Counters and lifts are merged by maximum,
 * so repeated and reordered messages have no effect.
 */
final class RootCounters {

  /** Waves without backlog after which a flow is idle. */
  private static final long IDLE_WAVES = 2;

  /**
   * Waves between two exchanges. An exchange in each wave would exceed the control byte budget of a
   * root that has five others.
   */
  private static final long EXCHANGE_WAVES = 2;

  /** Waves after which the backlog of another data centre expires; one exchange may be lost. */
  private static final long REMOTE_BACKLOG_WAVES = 2 * EXCHANGE_WAVES + 1;

  /** Waves between two exchanges with all lifts. Omitting lifts saves a third of the bytes. */
  private static final long LIFT_REPEAT_WAVES = 10;

  /** Data centre of this root. */
  private final String dataCentre;

  /** Waves that a flow stays active after its last service or backlog. */
  private final long activeWaves;

  private final FlowDirectory directory;

  /** Counters by flow identity. */
  private final Map<Integer, RootFlow> flows = new TreeMap<>();

  /** Last exchange of each other data centre, by name. */
  private final Map<String, RemoteDataCentre> remotes = new HashMap<>();

  /** Last wave in which a flow was lifted here. */
  private long lastLiftWave;

  /**
   * Creates counters at zero.
   *
   * @param dataCentre the data centre of this root
   * @param activeWaves the waves that a flow stays active after its last service or backlog
   * @param directory the reach of each flow
   */
  RootCounters(String dataCentre, long activeWaves, FlowDirectory directory) {
    this.dataCentre = dataCentre;
    this.activeWaves = activeWaves;
    this.directory = directory;
  }

  /**
   * Adds charges of this data centre.
   *
   * @param charges the charges by flow identity, in microseconds divided by share
   * @param wave the current wave
   */
  void add(Map<Integer, Long> charges, long wave) {
    charges.forEach((id, micros) -> flow(id).add(dataCentre, micros, wave));
  }

  /**
   * Subtracts charges that will be reported to another root.
   *
   * @param charges the charges by flow identity
   * @param wave the current wave
   */
  void retract(Map<Integer, Long> charges, long wave) {
    charges.forEach((id, micros) -> flow(id).add(dataCentre, -micros, wave));
  }

  /**
   * Returns whether any counter of this data centre is known.
   *
   * @return true when there is one
   */
  boolean hasOwnCounters() {
    return flows.values().stream().anyMatch(flow -> flow.counter(dataCentre) > 0);
  }

  /**
   * Merges the counters of another data centre. Messages from this data centre are ignored.
   *
   * @param exchange the message
   * @param wave the current wave
   */
  void merge(RootExchange exchange, long wave) {
    if (exchange.getDataCentre().equals(dataCentre)) {
      return;
    }
    RemoteDataCentre remote =
        remotes.computeIfAbsent(exchange.getDataCentre(), name -> new RemoteDataCentre());
    Set<Integer> backlogged = new HashSet<>();
    boolean behind = exchange.getFlowIdCount() == 0;
    for (int index = 0; index < exchange.getFlowIdCount(); index++) {
      RootFlow flow = flow(exchange.getFlowId(index));
      long counter = exchange.getCounterUs(index);
      behind |= counter < flow.counter(exchange.getDataCentre());
      flow.raise(exchange.getDataCentre(), counter, wave);
      if (index < exchange.getLiftUsCount()) {
        flow.raiseLift(exchange.getLiftUs(index));
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
      remote.receivedWave = wave;
      remote.agents = exchange.getAgents();
      remote.backloggedFlows = backlogged;
    }
  }

  /**
   * Merges the counters of a snapshot.
   *
   * @param snapshot the message
   * @param wave the current wave
   * @return true when the sender's counters are behind those known here
   */
  boolean merge(RootSnapshot snapshot, long wave) {
    boolean behind = snapshot.getFlowIdCount() == 0 && hasOwnCounters();
    for (int index = 0; index < snapshot.getFlowIdCount(); index++) {
      RootFlow flow = flow(snapshot.getFlowId(index));
      behind |= snapshot.getCounterUs(index) < flow.counter(dataCentre);
      flow.raise(dataCentre, snapshot.getCounterUs(index), wave);
      flow.raiseLift(snapshot.getLiftUs(index));
    }
    return behind;
  }

  /**
   * Returns whether the roots exchange counters in a wave.
   *
   * @param wave the wave
   * @return true when they do
   */
  boolean isExchangeWave(long wave) {
    return wave % EXCHANGE_WAVES == 0;
  }

  /**
   * Returns whether a data centre has sent its counters in a wave.
   *
   * @param name the data centre
   * @param wave the wave
   * @return true when it has
   */
  boolean hasExchanged(String name, long wave) {
    RemoteDataCentre remote = remotes.get(name);
    return remote != null && remote.receivedWave >= wave;
  }

  /**
   * Marks flows as backlogged and lifts those that were idle before.
   *
   * @param backlogged the backlogged flows of this data centre
   * @param wave the current wave
   */
  void lift(Collection<Integer> backlogged, long wave) {
    Set<Integer> backloggedAnywhere = new HashSet<>(backlogged);
    remotes.values().stream()
        .filter(remote -> wave - remote.receivedWave <= REMOTE_BACKLOG_WAVES)
        .forEach(remote -> backloggedAnywhere.addAll(remote.backloggedFlows));
    Set<Integer> newlyBacklogged = new HashSet<>();
    for (int id : backloggedAnywhere) {
      RootFlow flow = flow(id);
      if (flow.wavesSinceBacklog(wave) > IDLE_WAVES) {
        newlyBacklogged.add(id);
      }
    }
    liftToVirtualTime(newlyBacklogged, wave);
    backloggedAnywhere.forEach(id -> flow(id).markBacklogged(wave));
  }

  /**
   * Lifts flows to virtual time.
   *
   * @param newlyBacklogged the flows that were idle and are backlogged now
   * @param wave the current wave
   */
  private void liftToVirtualTime(Set<Integer> newlyBacklogged, long wave) {
    if (newlyBacklogged.isEmpty()) {
      return;
    }
    // Inactive flows are included: after a period without load on the whole pool, virtual time can
    // be derived from their accounts only.
    Map<Integer, FlowState> others = new HashMap<>();
    flows.forEach((id, flow) -> others.put(id, state(flow, wave)));
    others.keySet().removeAll(newlyBacklogged);
    VirtualTime time = new VirtualTime(others, directory);
    for (int id : newlyBacklogged) {
      long account = time.of(directory.targetsOf(id)).orElse(0L);
      if (flow(id).liftTo(account)) {
        lastLiftWave = wave;
      }
    }
  }

  /**
   * Returns the state of a flow.
   *
   * @param flow the flow
   * @param wave the current wave
   * @return the state
   */
  private static FlowState state(RootFlow flow, long wave) {
    return new FlowState(flow.account(), flow.wavesSinceBacklog(wave) <= IDLE_WAVES);
  }

  /**
   * Returns the states of the active flows.
   *
   * @param wave the current wave
   * @return the states by flow identity
   */
  Map<Integer, FlowState> states(long wave) {
    Map<Integer, FlowState> states = new HashMap<>();
    flows.forEach(
        (id, flow) -> {
          if (flow.wavesSinceActivity(wave) <= activeWaves) {
            states.put(id, state(flow, wave));
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
   * Builds the message to the root of another data centre. It contains lifts when the receiver's
   * counters are behind, after a recent lift and at regular intervals.
   *
   * @param receiver the data centre of the receiver
   * @param epoch the number of the digest
   * @param backlogged the backlogged flows of this data centre
   * @param agents the number of agents in this data centre
   * @param wave the current wave
   * @return the message
   */
  RootExchange exchange(
      String receiver, long epoch, Collection<Integer> backlogged, int agents, long wave) {
    RemoteDataCentre remote = remotes.get(receiver);
    boolean receiverBehind = remote != null && remote.behind;
    boolean withLifts =
        receiverBehind || wave - lastLiftWave <= EXCHANGE_WAVES || wave % LIFT_REPEAT_WAVES == 0;
    RootExchange.Builder exchange =
        RootExchange.newBuilder().setDataCentre(dataCentre).setEpoch(epoch).setAgents(agents);
    flows.forEach(
        (id, flow) -> {
          if (flow.wavesSinceActivity(wave) <= activeWaves || backlogged.contains(id)) {
            exchange.addFlowId(id);
            exchange.addCounterUs(flow.counter(dataCentre));
            if (withLifts) {
              exchange.addLiftUs(flow.lift());
            }
            exchange.addBacklogged(backlogged.contains(id));
            if (receiverBehind) {
              exchange.addReceiverCounterUs(flow.counter(receiver));
            }
          }
        });
    return exchange.build();
  }

  /**
   * Builds the message to the successor or to another root of this data centre.
   *
   * @param epoch the number of the digest
   * @param wave the current wave
   * @param all whether inactive flows are included
   * @return the message
   */
  RootSnapshot snapshot(long epoch, long wave, boolean all) {
    RootSnapshot.Builder snapshot = RootSnapshot.newBuilder().setEpoch(epoch);
    flows.forEach(
        (id, flow) -> {
          if (all || flow.wavesSinceActivity(wave) <= activeWaves) {
            snapshot.addFlowId(id);
            snapshot.addCounterUs(flow.counter(dataCentre));
            snapshot.addLiftUs(flow.lift());
          }
        });
    return snapshot.build();
  }

  /**
   * Returns the state of a flow.
   *
   * @param id the identity of the flow
   * @return the counters, created when the flow is new
   */
  private RootFlow flow(int id) {
    return flows.computeIfAbsent(id, key -> new RootFlow());
  }

  /** State of another data centre besides its counters. */
  private static final class RemoteDataCentre {

    /** Epoch of the last exchange. */
    private long epoch;

    /** Wave of this data centre in which the last exchange arrived. */
    private long receivedWave;

    /** Number of agents in the data centre. */
    private int agents;

    /** Whether the last exchange contained smaller counters than are known here. */
    private boolean behind;

    /** Backlogged flows of the data centre. */
    private Set<Integer> backloggedFlows = Set.of();
  }
}
