package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Flow;
import org.almondslip.execution.AgentEffects;
import org.almondslip.execution.AgentLimits;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.DrainReason;
import org.almondslip.execution.ExecutionCounters;
import org.almondslip.execution.TargetCall;
import org.almondslip.execution.TargetFailure;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.UnavailableClaims;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.scheduling.Policy;
import org.almondslip.scheduling.PolicyOfferScheduler;
import org.almondslip.time.Clock;

/**
 * Agent with the real {@link AgentLogic} and a target that answers like that of {@link FakeAgent}.
 */
final class LogicAgent implements SimulatedAgent, AgentEffects {

  /** Size of the data that the target sends at once. */
  private static final int CHUNK = 7;

  /** Router as its connections name it. */
  private static final PeerIdentity ROUTER =
      new PeerIdentity("r1", 9, Role.ROUTER, "north", "north-1", "127.0.0.1:1", "");

  /** How often each body was run by any agent of the fleet. */
  private final Map<String, Integer> runs;

  /** Agent logic under test. */
  private final AgentLogic logic;

  /** Calls at the target by token, with the text that is left. */
  private final Map<Long, ByteString> calls = new LinkedHashMap<>();

  /** Calls whose head has been sent. */
  private final Set<Long> answered = new HashSet<>();

  /** Paused calls. */
  private final Set<Long> paused = new HashSet<>();

  /** Bodies of the calls. */
  private final Map<Long, String> bodies = new HashMap<>();

  /** Connection to the router. */
  private RecordingPeer link = new RecordingPeer(0, ROUTER);

  /** Whether a probe of the target waits for its answer. */
  private boolean probing;

  /** Accounts that charge nothing. */
  private enum NoCharges implements Accounts {
    /** The only instance. */
    INSTANCE;

    @Override
    public void start(long token, Flow flow, long estimateMillis) {}

    @Override
    public void progress(long token, long elapsedMillis) {}

    @Override
    public void settle(long token, long costMillis) {}

    @Override
    public long estimateMicros(Flow flow) {
      return 0;
    }
  }

  LogicAgent(PeerIdentity self, Clock clock, Map<String, Integer> runs) {
    this.runs = runs;
    this.logic =
        new AgentLogic(
            self,
            AgentLimits.DEFAULT,
            clock,
            this,
            UnavailableClaims.INSTANCE,
            new PolicyOfferScheduler(Policy.FAIR, NoCharges.INSTANCE, 0),
            NoCharges.INSTANCE,
            new SuspectRegistry(),
            new ExecutionCounters());
    logic.onCatalog(RoutingFixture.catalog());
  }

  @Override
  public Deque<Frame> outgoing() {
    return link.queued;
  }

  @Override
  public void onConnect(long connection) {
    link = new RecordingPeer(connection, ROUTER);
    logic.onOpen(link);
    heartbeat();
  }

  @Override
  public void onDisconnect() {
    logic.onClose(link.id());
    link = new RecordingPeer(0, ROUTER);
  }

  @Override
  public void onFrame(Frame frame) {
    logic.onFrame(link, frame);
  }

  @Override
  public void work() {
    logic.setDrain(DrainReason.INSTANCE_LEAVING, false);
    logic.onTick();
    if (probing) {
      probing = false;
      logic.onProbe(true);
    }
    for (long token : List.copyOf(calls.keySet())) {
      if (calls.containsKey(token) && !paused.contains(token)) {
        advance(token);
      }
    }
    heartbeat();
  }

  @Override
  public void abortRunning() {
    for (long token : List.copyOf(calls.keySet())) {
      if (calls.remove(token) != null) {
        boolean sent = answered.contains(token);
        logic.onTargetFailed(token, new TargetFailure(TargetFailure.Kind.RESET, sent, "reset"));
      }
    }
  }

  @Override
  public void returnUnstarted() {
    logic.setDrain(DrainReason.INSTANCE_LEAVING, true);
    heartbeat();
  }

  @Override
  public void start(TargetCall call) {
    String body = call.body().toStringUtf8();
    bodies.put(call.token(), body);
    calls.put(call.token(), FakeAgent.answerTo(body, call.resumeAfter()));
  }

  @Override
  public void pause(long token) {
    paused.add(token);
  }

  @Override
  public void resume(long token) {
    paused.remove(token);
  }

  @Override
  public void cancel(long token) {
    if (calls.remove(token) != null) {
      boolean sent = answered.contains(token);
      logic.onTargetFailed(
          token, new TargetFailure(TargetFailure.Kind.CANCELLED, sent, "cancelled"));
    }
  }

  @Override
  public void probe() {
    probing = true;
  }

  /**
   * Sends the next part of the target's answer. The first part means that the target runs the call.
   *
   * @param token the call
   */
  private void advance(long token) {
    ByteString left = calls.get(token);
    if (answered.add(token)) {
      runs.merge(bodies.get(token), 1, Integer::sum);
      AnswerHead.Builder head = AnswerHead.newBuilder().setStatus(200);
      head.addHeadersBuilder().setName("content-type").setValue("text/event-stream");
      logic.onTargetHead(token, head.build());
    } else if (left.isEmpty()) {
      calls.remove(token);
      logic.onTargetEnd(token);
    } else {
      int size = Math.min(CHUNK, left.size());
      calls.put(token, left.substring(size));
      logic.onTargetData(token, left.substring(0, size));
    }
  }

  /** Sends a heartbeat with the status of the agent. */
  private void heartbeat() {
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setAgent(logic.status());
    link.send(Frame.newBuilder().setHeartbeat(heartbeat).build());
  }
}
