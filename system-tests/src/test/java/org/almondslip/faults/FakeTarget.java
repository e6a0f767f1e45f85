package org.almondslip.faults;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.execution.AgentEffects;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.TargetCall;
import org.almondslip.execution.TargetFailure;
import org.almondslip.protocol.wire.AnswerHead;

/**
 * Target whose answers are a function of the request and which records every run.
 *
 * <p>It outlives the agent process beside it, as a real target does.
 */
final class FakeTarget {

  /** Text in a body that crashes the target. */
  static final String CRASH = "crash";

  private static final long CONNECT_MILLIS = 1;
  private static final long HEAD_MILLIS = 20;
  private static final long EVENT_MILLIS = 30;
  private static final long RESTART_MILLIS = 400;

  private final Timeline timeline;
  private final History history;
  private final Map<Long, Run> running = new HashMap<>();
  private boolean up = true;
  private int generation;

  FakeTarget(Timeline timeline, History history) {
    this.timeline = timeline;
    this.history = history;
  }

  AgentEffects effectsFor(AgentNode node) {
    return new Effects(node);
  }

  void crash() {
    up = false;
    generation++;
    List<Run> victims = new ArrayList<>(running.values());
    running.clear();
    victims.forEach(run -> run.fail(TargetFailure.Kind.RESET, true));
    timeline.after(RESTART_MILLIS, () -> up = true);
  }

  void dropCallsOf(AgentNode node) {
    running.values().removeIf(run -> run.node == node);
  }

  /** Calls of one incarnation of the agent. */
  private final class Effects implements AgentEffects {

    private final AgentNode node;

    Effects(AgentNode node) {
      this.node = node;
    }

    @Override
    public void start(TargetCall call) {
      Run run = new Run(node, call);
      timeline.after(CONNECT_MILLIS, run::begin);
    }

    @Override
    public void pause(long token) {}

    @Override
    public void resume(long token) {}

    @Override
    public void cancel(long token) {
      running.remove(token);
    }

    @Override
    public void probe() {
      timeline.after(CONNECT_MILLIS, () -> node.run(() -> node.logic().onProbe(up)));
    }
  }

  /** One call. */
  private final class Run {

    private final AgentNode node;
    private final TargetCall call;
    private final List<String> events;
    private int next;

    Run(AgentNode node, TargetCall call) {
      this.node = node;
      this.call = call;
      this.events = Answers.eventsOf(call.body().toStringUtf8());
      this.next = call.resumeAfter();
    }

    void begin() {
      if (!up) {
        fail(TargetFailure.Kind.NOT_CONNECTED, false);
        return;
      }
      running.put(call.token(), this);
      history.onRun(call);
      int started = generation;
      if (call.body().toStringUtf8().contains(CRASH)) {
        timeline.after(HEAD_MILLIS / 2, () -> crashIfSame(started));
      } else {
        timeline.after(HEAD_MILLIS, () -> whileRunning(this::head));
      }
    }

    private void crashIfSame(int started) {
      if (started == generation) {
        crash();
      }
    }

    private void whileRunning(Runnable action) {
      if (running.get(call.token()) == this) {
        action.run();
      }
    }

    private void head() {
      AnswerHead head = AnswerHead.newBuilder().setStatus(200).build();
      toAgent(logic -> logic.onTargetHead(call.token(), head));
      timeline.after(EVENT_MILLIS, () -> whileRunning(this::event));
    }

    private void event() {
      if (next == events.size()) {
        running.remove(call.token());
        toAgent(logic -> logic.onTargetEnd(call.token()));
        return;
      }
      ByteString data = ByteString.copyFrom(events.get(next++), StandardCharsets.UTF_8);
      toAgent(logic -> logic.onTargetData(call.token(), data));
      timeline.after(EVENT_MILLIS, () -> whileRunning(this::event));
    }

    private void fail(TargetFailure.Kind kind, boolean sent) {
      TargetFailure failure = new TargetFailure(kind, sent, kind.name());
      toAgent(logic -> logic.onTargetFailed(call.token(), failure));
    }

    private void toAgent(java.util.function.Consumer<AgentLogic> event) {
      node.run(() -> event.accept(node.logic()));
    }
  }
}
