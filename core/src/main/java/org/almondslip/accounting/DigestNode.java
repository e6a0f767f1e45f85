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
 * Part of one agent in the digest waves.
 *
 * <p>Each wave collects the charges of the subtree, passes them to the parent, and hands the
 * accounts of the fleet down. The agent that has no reachable parent acts as the root of its data
 * centre. A report is repeated with its number until a digest acknowledges that it is counted.
 */
public final class DigestNode {

  /** Waves after which an agent that sends nothing is forgotten. */
  private static final long STALE_WAVES = 3;

  /** Times of the waves. */
  private final DigestSettings settings;

  /** Place of this agent in the tree. */
  private final TreePosition position;

  /** Accounts of this agent. */
  private final AccountLedger ledger;

  /** Flows with requests waiting at this agent. */
  private final Supplier<? extends Collection<Flow>> backlog;

  /** Source of time. */
  private final Clock clock;

  /** Sender of frames. */
  private final Effects effects;

  /** Reports of the agents below. */
  private final ChildReports children;

  /** Counters for the time when this agent is root or successor. */
  private final RootRole root;

  /** Report that has not been acknowledged. */
  private Optional<UnacknowledgedReport> unacknowledged = Optional.empty();

  /** Sequence number of the last report. */
  private long sequence;

  /** Number of the last digest. */
  private long epoch;

  /** Highest wave number in a snapshot. */
  private long snapshotEpoch;

  /** Number of the current wave. */
  private long wave;

  /** Start of the current wave, in milliseconds of the monotonic clock. */
  private long waveStartMillis;

  /** What this agent does in the current wave. */
  private Stage stage = Stage.DONE;

  /**
   * Creates a node without members.
   *
   * @param settings the times of the waves
   * @param self the identity of this agent
   * @param ledger the accounts of this agent
   * @param backlog the flows with requests waiting at this agent
   * @param directory the flows and their reach
   * @param clock the source of time
   * @param effects the sender of frames
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
    // A report of this incarnation must have a higher number than those of earlier ones.
    this.sequence = clock.wallMillis();
  }

  /**
   * Replaces the members of the fleet.
   *
   * @param members all processes; routers are skipped
   */
  public void onMembers(Collection<Member> members) {
    position.onMembers(members);
    if (root.isActing() && position.parent().isPresent()) {
      effects.send(position.parent().get(), root.snapshot(epoch, wave, true));
      root.end();
    }
  }

  /**
   * Notes that frames can be sent to an agent.
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
   * Notes that an agent cannot be reached: its connection was closed or could not be opened.
   *
   * @param instanceId the agent
   */
  public void onPeerClosed(String instanceId) {
    position.onClosed(instanceId);
  }

  /**
   * Returns the agents to which this agent needs connections: its parent, or the other roots.
   *
   * @return the instance ids
   */
  public Set<String> peersToDial() {
    return position.peersToDial();
  }

  /** Starts a wave when its time has come and continues the current one. */
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
   * Handles a frame of another agent. Frames that do not belong to the digest waves are ignored.
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

  /** Continues the current wave as far as the received messages and the time allow. */
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
   * Returns whether the children have reported or the grace period has ended.
   *
   * @return true when the own report can be sent
   */
  private boolean reportsCollected() {
    // A child whose clock is ahead reports shortly before the wave starts here.
    long earliest = waveStartMillis - settings.intervalMillis() / 4;
    return clock.millis() >= waveStartMillis + position.height() * graceMillis()
        || children.haveReported(position.children(), earliest);
  }

  /**
   * Returns how long this agent waits for each level below it.
   *
   * @return the time, in milliseconds
   */
  private long graceMillis() {
    return settings.graceMillis(position.treeHeight());
  }

  /**
   * Returns whether the other roots have sent their counters or the grace period has ended.
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
   * Sends the charges of the subtree, or repeats the report that is not acknowledged.
   *
   * @param parent the receiver
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

  /** Counts the charges of the data centre and sends the counters to the other roots. */
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

  /** Moves the charges of the subtree to the root.counters(). */
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

  /** Sends the accounts of the fleet to the agents below. */
  private void sendDigest() {
    root.counters().lift(backlogged(), wave);
    Map<Integer, FlowState> states = root.counters().states(wave);
    ledger.onCounted();
    ledger.onDigest(states);
    forwardToChildren(
        DigestCodec.digest(epoch, states, agentsInSubtree() + root.counters().remoteAgents()));
  }

  /**
   * Sends a digest to the agents below.
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
   * Handles a digest. An older one than the last is ignored.
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
   * Merges the counters of another data centre. An agent that is not root passes them on towards
   * the root, because the sender could not reach the root.
   *
   * @param frame the frame
   */
  private void onExchange(Frame frame) {
    root.counters().merge(frame.getRootExchange(), wave);
    position.parent().ifPresent(parent -> effects.send(parent, frame));
  }

  /**
   * Merges the counters of the own data centre, and sends the own ones when the sender lacks some.
   *
   * @param sender the sender
   * @param snapshot the message
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
   * Returns the flows with requests waiting in the subtree.
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
    /** Waits for the reports of its children. */
    COLLECTING,
    /** Waits, as root, for the counters of the other roots. */
    EXCHANGING,
    /** Waits for the next wave. */
    DONE
  }

  /** Sender of frames to other agents. */
  public interface Effects {

    /**
     * Sends a frame. It is dropped when there is no connection.
     *
     * @param instanceId the receiver
     * @param frame the frame
     */
    void send(String instanceId, Frame frame);
  }
}
