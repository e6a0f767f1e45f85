package org.almondslip.accounting;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.RootSnapshot;
import org.almondslip.protocol.wire.ServiceDigest;
import org.almondslip.time.Clock;

/**
 * Node of the digest tree that aggregates charges upwards and distributes accounts downwards.
 *
 * <p>In each wave, a node collects the charges of its subtree, reports them to its parent and
 * forwards the digest with the accounts of the fleet to its children. An agent without a reachable
 * parent acts as the root of its data centre; the roots exchange their counters. A report is resent
 * with the same sequence number until a digest acknowledges it.
 */
public final class DigestNode {

  /** Waves without a report after which the state of a child expires. */
  private static final long STALE_WAVES = 3;

  private final DigestSettings settings;

  /** Position of this agent in the digest tree. */
  private final TreePosition position;

  private final AccountLedger ledger;

  /** Supplies the backlogged flows of this agent. */
  private final Supplier<? extends Collection<Flow>> backlog;

  private final Clock clock;

  private final Effects effects;

  private final ChildReports children;

  /** Counters that this agent keeps as root or successor of its data centre. */
  private final RootRole root;

  /** Last report, unless a digest has acknowledged it. */
  private Optional<UnacknowledgedReport> unacknowledged = Optional.empty();

  private long sequence;

  /** Number of the last digest sent or received. */
  private long epoch;

  /** Highest digest number in a received snapshot. */
  private long snapshotEpoch;

  /** Number of the current wave: wall-clock time divided by the interval. */
  private long wave;

  /** Start of the current wave, in milliseconds of the monotonic clock. */
  private long waveStartMillis;

  private Stage stage = Stage.DONE;

  /**
   * Creates a node of an empty tree.
   *
   * @param settings the times of the waves
   * @param self the identity of this agent
   * @param ledger the accounts of this agent
   * @param backlog supplies the backlogged flows of this agent
   * @param directory the reach of each flow
   * @param clock the clock
   * @param effects sends frames to other agents
   */
  public DigestNode(
      DigestSettings settings,
      Member self,
      AccountLedger ledger,
      Supplier<? extends Collection<Flow>> backlog,
      FlowDirectory directory,
      Clock clock,
      Effects effects) {
    this.settings = settings;
    this.position = new TreePosition(self);
    this.ledger = ledger;
    this.backlog = backlog;
    this.clock = clock;
    this.effects = effects;
    this.children = new ChildReports(STALE_WAVES * settings.intervalMillis());
    long activeWaves = settings.activeMillis() / settings.intervalMillis();
    this.root = new RootRole(new RootCounters(self.dataCentre(), activeWaves, directory));
    // Sequence numbers must be higher than those of earlier incarnations of this agent.
    this.sequence = clock.wallMillis();
  }

  /**
   * Replaces the members of the fleet. A root that has got a parent hands over its counters.
   *
   * @param members all processes; routers are ignored
   */
  public void onMembers(Collection<Member> members) {
    position.onMembers(members);
    if (root.isActing() && position.parent().isPresent()) {
      effects.send(position.parent().get(), root.snapshot(epoch, wave, true));
      root.end();
    }
  }

  /**
   * Records that an agent can be reached. A root that has got a parent gives up its role.
   *
   * @param peer the agent
   */
  public void onPeerOpen(PeerIdentity peer) {
    boolean sameProcess = position.onOpen(peer);
    boolean replaced = root.isActing() && position.parent().isPresent();
    if (replaced && sameProcess) {
      children.addPending(root.endAndRetract(wave));
    } else if (replaced) {
      effects.send(peer.instanceId(), root.snapshot(epoch, wave, true));
      root.end();
    }
  }

  /**
   * Records that the connection to an agent was closed or could not be opened.
   *
   * @param instanceId the instance id of the agent
   */
  public void onPeerClosed(String instanceId) {
    position.onClosed(instanceId);
  }

  /**
   * Returns the agents to which this agent needs connections: its parent or, as root, the other
   * roots.
   *
   * @return the instance ids
   */
  public Set<String> peersToDial() {
    return position.peersToDial();
  }

  /** Starts a wave when it is due and continues the current one. */
  public void onTick() {
    long current = clock.wallMillis() / settings.intervalMillis();
    if (current > wave) {
      wave = current;
      waveStartMillis = clock.millis();
      stage = Stage.COLLECTING;
    }
    advance();
  }

  /**
   * Handles a frame of another agent. Frames of other protocols are ignored.
   *
   * @param peer the sender
   * @param frame the frame
   */
  public void onFrame(Peer peer, Frame frame) {
    switch (frame.getBodyCase()) {
      case SERVICE_REPORT -> children.merge(peer.peer(), frame.getServiceReport(), clock.millis());
      case SERVICE_DIGEST -> onDigest(frame.getServiceDigest());
      case ROOT_EXCHANGE -> onExchange(frame);
      case ROOT_SNAPSHOT -> onSnapshot(peer, frame.getRootSnapshot());
      default -> {}
    }
    advance();
  }

  /** Completes the stages of the current wave whose conditions are met. */
  private void advance() {
    if (stage == Stage.COLLECTING && reportsCollected()) {
      if (position.parent().isPresent()) {
        sendReport(position.parent().get());
        stage = Stage.DONE;
      } else {
        countAndExchange();
      }
    }
    if (stage == Stage.EXCHANGING && exchangesReceived()) {
      sendDigest();
      stage = Stage.DONE;
    }
  }

  /**
   * Returns whether all children have reported or the grace period has expired.
   *
   * @return true when the report of the subtree can be sent
   */
  private boolean reportsCollected() {
    // A child whose clock is ahead may report before the wave starts here.
    long earliest = waveStartMillis - settings.intervalMillis() / 4;
    return clock.millis() >= waveStartMillis + position.height() * graceMillis()
        || children.haveReported(position.children(), earliest);
  }

  /**
   * Returns the grace period of each level below this agent.
   *
   * @return the grace period, in milliseconds
   */
  private long graceMillis() {
    return settings.graceMillis(position.treeHeight());
  }

  /**
   * Returns whether no exchange is due, the other roots have sent their counters or the grace
   * period has expired.
   *
   * @return true when the digest can be sent
   */
  private boolean exchangesReceived() {
    return !root.counters().isExchangeWave(wave)
        || clock.millis() >= waveStartMillis + (position.height() + 1) * graceMillis()
        || position.otherRoots().keySet().stream()
            .allMatch(name -> root.counters().hasExchanged(name, wave));
  }

  /**
   * Sends the charges of the subtree, or resends the last report while it is unacknowledged.
   *
   * @param parent the instance id of the receiver
   */
  private void sendReport(String parent) {
    if (unacknowledged.isEmpty()) {
      ChildReports.Batch batch = children.drain();
      Map<Integer, Long> charges = new HashMap<>(batch.charges());
      ledger.drainCharges().forEach((id, micros) -> charges.merge(id, micros, Long::sum));
      sequence = Math.max(sequence + 1, clock.wallMillis());
      unacknowledged = Optional.of(new UnacknowledgedReport(sequence, charges, batch.sequences()));
    }
    UnacknowledgedReport report = unacknowledged.get();
    effects.send(
        parent,
        DigestCodec.report(report.sequence(), report.charges(), backlogged(), agentsInSubtree()));
  }

  /**
   * Counts the charges of the data centre and sends the counters to the successor and, in exchange
   * waves, to the other roots. No charges are counted while the counters are being recovered.
   */
  private void countAndExchange() {
    root.begin(wave);
    epoch = Math.max(Math.max(epoch, snapshotEpoch) + 1, clock.wallMillis());
    boolean recovering = root.isRecovering(wave);
    if (!recovering) {
      countCharges();
    }
    if (root.counters().isExchangeWave(wave)) {
      position.otherRoots().forEach((name, id) -> effects.send(id, exchangeFrame(name)));
    }
    position.successor().ifPresent(id -> effects.send(id, root.snapshot(epoch, wave, false)));
    stage = recovering ? Stage.DONE : Stage.EXCHANGING;
  }

  /** Adds the charges of the subtree to the counters of the root. */
  private void countCharges() {
    unacknowledged.ifPresent(
        report -> {
          root.count(report.charges(), wave);
          children.onCounted(report.childSequences());
        });
    unacknowledged = Optional.empty();
    ChildReports.Batch batch = children.drain();
    root.count(batch.charges(), wave);
    root.count(ledger.drainCharges(), wave);
    children.onCounted(batch.sequences());
  }

  /** Sends the accounts of the fleet to the children. */
  private void sendDigest() {
    root.counters().lift(backlogged(), wave);
    Map<Integer, FlowState> states = root.counters().states(wave);
    ledger.onCounted();
    ledger.onDigest(states);
    forwardToChildren(
        DigestCodec.digest(epoch, states, agentsInSubtree() + root.counters().remoteAgents()));
  }

  /**
   * Sends a digest to the children and to all other agents that report to this one.
   *
   * @param digest the digest
   */
  private void forwardToChildren(ServiceDigest digest) {
    Set<String> receivers = children.recent(clock.millis());
    receivers.addAll(position.children());
    receivers.forEach(
        id -> effects.send(id, DigestCodec.digestFrame(digest, children.counted(id))));
  }

  /**
   * Applies a digest and forwards it. A digest that is not newer than the last one is ignored.
   *
   * @param digest the digest
   */
  private void onDigest(ServiceDigest digest) {
    if (digest.getEpoch() <= epoch) {
      return;
    }
    epoch = digest.getEpoch();
    if (unacknowledged.isPresent() && unacknowledged.get().sequence() == digest.getAcknowledged()) {
      children.onCounted(unacknowledged.get().childSequences());
      ledger.onCounted();
      unacknowledged = Optional.empty();
    }
    ledger.onDigest(DigestCodec.states(digest));
    forwardToChildren(digest);
  }

  /**
   * Merges the counters of another data centre. An agent that is not root forwards them to its
   * parent, because the sender could not reach the root.
   *
   * @param frame the frame
   */
  private void onExchange(Frame frame) {
    root.counters().merge(frame.getRootExchange(), wave);
    position.parent().ifPresent(parent -> effects.send(parent, frame));
  }

  /**
   * Merges the counters of this data centre and replies with all of them when the sender's are
   * behind.
   *
   * @param sender the sender
   * @param snapshot the counters of the sender
   */
  private void onSnapshot(Peer sender, RootSnapshot snapshot) {
    snapshotEpoch = Math.max(snapshotEpoch, snapshot.getEpoch());
    if (root.counters().merge(snapshot, wave)) {
      effects.send(sender.peer().instanceId(), root.snapshot(epoch, wave, true));
    }
  }

  /**
   * Builds the message to the root of another data centre.
   *
   * @param dataCentre the data centre of the receiver
   * @return the frame
   */
  private Frame exchangeFrame(String dataCentre) {
    return Frame.newBuilder()
        .setRootExchange(
            root.counters().exchange(dataCentre, epoch, backlogged(), agentsInSubtree(), wave))
        .build();
  }

  /**
   * Returns the backlogged flows of the subtree.
   *
   * @return the identities of the flows
   */
  private Set<Integer> backlogged() {
    Set<Integer> ids = new HashSet<>();
    backlog.get().forEach(flow -> ids.add(flow.id()));
    children.addBacklogged(ids, clock.millis());
    return ids;
  }

  /**
   * Returns the number of agents in the subtree.
   *
   * @return the number
   */
  private int agentsInSubtree() {
    return 1 + children.agents(clock.millis());
  }

  /** What an agent does in a wave. */
  private enum Stage {
    /** Waits for the reports of the children. */
    COLLECTING,
    /** Waits for the counters of the other roots. Only roots are in this stage. */
    EXCHANGING,
    /** Waits for the next wave. */
    DONE
  }

  /** Sends frames to other agents. */
  public interface Effects {

    /**
     * Sends a frame. The frame is dropped when there is no connection.
     *
     * @param instanceId the instance id of the receiver
     * @param frame the frame
     */
    void send(String instanceId, Frame frame);
  }
}
