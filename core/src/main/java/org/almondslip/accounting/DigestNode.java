package org.almondslip.accounting;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.ServiceDigest;
import org.almondslip.protocol.wire.ServiceReport;
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

  /** Waves that a root without counters waits for others to send them. */
  private static final long RECOVERY_WAVES = 2;

  /** Times of the waves. */
  private final DigestSettings settings;

  /** Identity of this agent. */
  private final Member self;

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
  private final RootCounters counters;

  /** Agents whose connection is closed. */
  private final Set<String> unreachable = new HashSet<>();

  /** Last known incarnation of each peer. */
  private final Map<String, Long> incarnations = new HashMap<>();

  /** Charges counted here since this agent acts as root. */
  private final Map<Integer, Long> countedAsRoot = new HashMap<>();

  /** Tree of all data centres. */
  private DigestTree tree = DigestTree.EMPTY;

  /** Report that has not been acknowledged. */
  private Optional<Outstanding> outstanding = Optional.empty();

  /** Sequence number of the last report. */
  private long sequence;

  /** Number of the last digest. */
  private long epoch;

  /** Highest number of a wave that a root has sent in a snapshot. */
  private long rootEpoch;

  /** Number of the current wave. */
  private long wave;

  /** Start of the current wave, in milliseconds of the monotonic clock. */
  private long waveStart;

  /** Wave in which this agent began to act as root. */
  private Optional<Long> rootSince = Optional.empty();

  /** What this agent does in the current wave. */
  private Stage stage = Stage.DONE;

  /**
   * Creates a node without members.
   *
   * @param settings the times of the waves
   * @param self the identity of this agent
   * @param ledger the accounts of this agent
   * @param backlog the flows with requests waiting at this agent
   * @param flows the flows by identity
   * @param clock the source of time
   * @param effects the sender of frames
   */
  public DigestNode(
      DigestSettings settings,
      Member self,
      AccountLedger ledger,
      Supplier<? extends Collection<Flow>> backlog,
      IntFunction<Optional<Flow>> flows,
      Clock clock,
      Effects effects) {
    this.settings = settings;
    this.self = self;
    this.ledger = ledger;
    this.backlog = backlog;
    this.clock = clock;
    this.effects = effects;
    this.children = new ChildReports(STALE_WAVES * settings.intervalMillis());
    long activeWaves = settings.activeMillis() / settings.intervalMillis();
    this.counters = new RootCounters(self.dataCentre(), activeWaves, flows);
    // A report of this incarnation must have a higher number than those of earlier ones.
    this.sequence = clock.wallMillis();
  }

  /**
   * Replaces the members of the fleet.
   *
   * @param members all processes; routers are skipped
   */
  public void onMembers(Collection<Member> members) {
    tree = DigestTree.of(members);
    Set<String> known = new HashSet<>();
    tree.dataCentres().forEach(name -> known.addAll(tree.agents(name)));
    unreachable.retainAll(known);
    if (rootSince.isPresent() && parent().isPresent()) {
      parent().ifPresent(root -> effects.send(root, snapshot(true)));
      endRoot();
    }
  }

  /**
   * Notes that frames can be sent to an agent.
   *
   * @param peer the agent
   */
  public void onPeerOpen(PeerIdentity peer) {
    String id = peer.instanceId();
    Long before = incarnations.put(id, peer.incarnation());
    unreachable.remove(id);
    if (rootSince.isEmpty() || parent().isEmpty()) {
      return;
    }
    if (before != null && before == peer.incarnation()) {
      // The root kept its counters, so it lacks only what was counted here meanwhile.
      counters.retract(countedAsRoot);
      children.giveBack(countedAsRoot);
    } else {
      effects.send(id, snapshot(true));
    }
    endRoot();
  }

  /**
   * Notes that an agent cannot be reached: its connection was closed or could not be opened.
   *
   * @param instanceId the agent
   */
  public void onPeerClosed(String instanceId) {
    unreachable.add(instanceId);
  }

  /**
   * Returns the agents to which this agent needs connections: its parent, or the other roots.
   *
   * @return the instance ids
   */
  public Set<String> peersToDial() {
    Set<String> ids = new HashSet<>();
    ancestors().forEach(ids::add);
    if (parent().isEmpty()) {
      ids.addAll(otherRoots());
    }
    return ids;
  }

  /** Starts a wave when its time has come and continues the current one. */
  public void onTick() {
    long current = clock.wallMillis() / settings.intervalMillis();
    if (current > wave) {
      wave = current;
      waveStart = clock.millis();
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
    String sender = peer.peer().instanceId();
    switch (frame.getBodyCase()) {
      case SERVICE_REPORT -> onReport(peer.peer(), frame.getServiceReport());
      case SERVICE_DIGEST -> onDigest(frame.getServiceDigest());
      case ROOT_EXCHANGE -> onExchange(frame);
      case ROOT_SNAPSHOT -> {
        rootEpoch = Math.max(rootEpoch, frame.getRootSnapshot().getEpoch());
        if (counters.merge(frame.getRootSnapshot(), wave)) {
          effects.send(sender, snapshot(true));
        }
      }
      default -> {
        return;
      }
    }
    advance();
  }

  /** Continues the current wave as far as the received messages and the time allow. */
  private void advance() {
    if (stage == Stage.COLLECTING && collected()) {
      if (parent().isPresent()) {
        sendReport(parent().get());
        stage = Stage.DONE;
      } else {
        sendExchanges();
      }
    }
    if (stage == Stage.EXCHANGING && exchanged()) {
      sendDigest();
      stage = Stage.DONE;
    }
  }

  /**
   * Returns whether the children have reported or the grace period has ended.
   *
   * @return true when the own report can be sent
   */
  private boolean collected() {
    List<String> expected = tree.children(self.dataCentre(), self.instanceId());
    int height = tree.height(self.dataCentre(), self.instanceId());
    // A child whose clock is ahead reports shortly before the wave starts here.
    long earliest = waveStart - settings.intervalMillis() / 4;
    return clock.millis() >= waveStart + height * settings.graceMillis()
        || children.haveReported(expected, earliest);
  }

  /**
   * Returns whether the other roots have sent their counters or the grace period has ended.
   *
   * @return true when the digest can be sent
   */
  private boolean exchanged() {
    int height = tree.height(self.dataCentre(), self.instanceId());
    return clock.millis() >= waveStart + (height + 1) * settings.graceMillis()
        || tree.dataCentres().stream()
            .filter(name -> !name.equals(self.dataCentre()))
            .allMatch(name -> counters.hasExchanged(name, wave));
  }

  /**
   * Sends the charges of the subtree, or repeats the report that is not acknowledged.
   *
   * @param parent the receiver
   */
  private void sendReport(String parent) {
    if (outstanding.isEmpty()) {
      ChildReports.Taken taken = children.take();
      Map<Integer, Long> charges = new HashMap<>(taken.charges());
      ledger.takeCharges().forEach((id, micros) -> charges.merge(id, micros, Long::sum));
      sequence = Math.max(sequence + 1, clock.wallMillis());
      outstanding = Optional.of(new Outstanding(sequence, charges, taken.sequences()));
    }
    Outstanding report = outstanding.get();
    effects.send(
        parent,
        DigestCodec.report(report.sequence, report.charges, backlogged(), agentsInSubtree()));
  }

  /** Counts the charges of the data centre and sends the counters to the other roots. */
  private void sendExchanges() {
    if (rootSince.isEmpty()) {
      rootSince = Optional.of(wave);
    }
    epoch = Math.max(Math.max(epoch, rootEpoch) + 1, clock.wallMillis());
    boolean recovering = isRecovering();
    if (!recovering) {
      countCharges();
    }
    for (String dataCentre : tree.dataCentres()) {
      if (!dataCentre.equals(self.dataCentre())) {
        tree.root(dataCentre, this::isReachable)
            .ifPresent(root -> effects.send(root, exchangeFrame(dataCentre)));
      }
    }
    tree.successor(self.dataCentre(), this::isReachable)
        .ifPresent(successor -> effects.send(successor, snapshot(false)));
    stage = recovering ? Stage.DONE : Stage.EXCHANGING;
  }

  /** Moves the charges of the subtree to the counters. */
  private void countCharges() {
    outstanding.ifPresent(
        report -> {
          count(report.charges);
          children.onCounted(report.childSequences);
        });
    outstanding = Optional.empty();
    ChildReports.Taken taken = children.take();
    count(taken.charges());
    count(ledger.takeCharges());
    children.onCounted(taken.sequences());
  }

  /**
   * Adds charges to the counters.
   *
   * @param charges the charges by flow identity
   */
  private void count(Map<Integer, Long> charges) {
    counters.add(charges, wave);
    charges.forEach((id, micros) -> countedAsRoot.merge(id, micros, Long::sum));
  }

  /** Sends the accounts of the fleet to the agents below. */
  private void sendDigest() {
    counters.lift(backlogged(), wave);
    Map<Integer, FlowState> states = counters.states(wave);
    ledger.onCounted();
    ledger.onDigest(states);
    passDown(DigestCodec.digest(epoch, states, agentsInSubtree() + counters.remoteAgents()));
  }

  /**
   * Sends a digest to the agents below.
   *
   * @param digest the digest
   */
  private void passDown(ServiceDigest digest) {
    Set<String> receivers = children.recent(clock.millis());
    receivers.addAll(tree.children(self.dataCentre(), self.instanceId()));
    receivers.forEach(
        id -> effects.send(id, DigestCodec.digestFrame(digest, children.counted(id))));
  }

  /**
   * Handles the report of an agent below.
   *
   * @param child the sender
   * @param report the report
   */
  private void onReport(PeerIdentity child, ServiceReport report) {
    children.merge(child.instanceId(), child.incarnation(), report, clock.millis());
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
    if (outstanding.isPresent() && outstanding.get().sequence == digest.getAcknowledged()) {
      children.onCounted(outstanding.get().childSequences);
      ledger.onCounted();
      outstanding = Optional.empty();
    }
    ledger.onDigest(DigestCodec.states(digest));
    passDown(digest);
  }

  /**
   * Merges the counters of another data centre. An agent that is not root passes them on towards
   * the root, because the sender could not reach the root.
   *
   * @param frame the frame
   */
  private void onExchange(Frame frame) {
    counters.merge(frame.getRootExchange(), wave);
    parent().ifPresent(parent -> effects.send(parent, frame));
  }

  /** Ends the time as root. */
  private void endRoot() {
    rootSince = Optional.empty();
    countedAsRoot.clear();
  }

  /**
   * Returns whether this root still waits for the counters of its data centre.
   *
   * @return true when it does not send digests yet
   */
  private boolean isRecovering() {
    return !counters.isInformed() && wave - rootSince.orElse(wave) < RECOVERY_WAVES;
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
            counters.exchange(dataCentre, epoch, backlogged(), agentsInSubtree(), wave))
        .build();
  }

  /**
   * Builds the message to the successor or the new root.
   *
   * @param all whether flows that are not active are included
   * @return the frame
   */
  private Frame snapshot(boolean all) {
    return Frame.newBuilder().setRootSnapshot(counters.snapshot(epoch, wave, all)).build();
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

  /**
   * Returns the agent that gets the reports of this one.
   *
   * @return the parent, or empty when this agent acts as root
   */
  private Optional<String> parent() {
    return tree.parent(self.dataCentre(), self.instanceId(), this::isReachable);
  }

  /**
   * Returns the parent and the agents that could replace it.
   *
   * @return the reachable parent and the parent in the full tree
   */
  private List<String> ancestors() {
    Set<String> ids = new HashSet<>();
    parent().ifPresent(ids::add);
    tree.parent(self.dataCentre(), self.instanceId(), id -> true).ifPresent(ids::add);
    return List.copyOf(ids);
  }

  /**
   * Returns the roots of the other data centres.
   *
   * @return the instance ids
   */
  private Set<String> otherRoots() {
    Set<String> roots = new HashSet<>();
    for (String dataCentre : tree.dataCentres()) {
      if (!dataCentre.equals(self.dataCentre())) {
        tree.root(dataCentre, this::isReachable).ifPresent(roots::add);
        tree.root(dataCentre, id -> true).ifPresent(roots::add);
      }
    }
    return roots;
  }

  /**
   * Returns whether an agent is not known to be unreachable.
   *
   * @param instanceId the agent
   * @return true when frames may reach it
   */
  private boolean isReachable(String instanceId) {
    return !unreachable.contains(instanceId);
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

  /**
   * Report that has not been acknowledged.
   *
   * @param sequence the sequence number
   * @param charges the charges by flow identity
   * @param childSequences the reports of the children that it contains
   */
  private record Outstanding(
      long sequence, Map<Integer, Long> charges, Map<String, Long> childSequences) {}

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
