package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.almondslip.execution.TargetFailure.Kind;
import org.almondslip.protocol.wire.AnswerHead;

/** Target that refuses connections, answers in pieces, breaks single calls and crashes. */
final class SimulatedTarget implements AgentEffects {

  /** Pieces of a whole answer. */
  static final int PIECES = 12;

  /** Size of a piece, in bytes. */
  static final int PIECE_BYTES = 1_000;

  /** How often each request was run, by its body. */
  final Map<String, Integer> runs = new HashMap<>();

  /** Bytes that were produced for each request, by its body. */
  final Map<String, Integer> produced = new HashMap<>();

  private final Map<Long, Call> calls = new LinkedHashMap<>();

  private final Random random;

  private AgentLogic agent;

  private boolean down;

  private boolean probing;

  private boolean calm;

  /** One call. */
  private static final class Call {
    private final String body;
    private boolean sent;
    private boolean paused;
    private boolean cancelled;
    private int pieces = -1;

    private Call(String body) {
      this.body = body;
    }
  }

  SimulatedTarget(Random random) {
    this.random = random;
  }

  void serve(AgentLogic logic) {
    agent = logic;
  }

  /** Ends all faults. */
  void heal() {
    calm = true;
    down = false;
  }

  /** Content of a piece, from which its place can be told. */
  static String piece(String body, int index) {
    String text = body + "/" + index + ";";
    return text.repeat(1 + PIECE_BYTES / text.length()).substring(0, PIECE_BYTES);
  }

  int active() {
    return calls.size();
  }

  @Override
  public void start(TargetCall call) {
    String body = call.body().toStringUtf8();
    boolean alone = body.startsWith("exclusive") || anyExclusive();
    assertThat(alone && !calls.isEmpty()).as("a suspected request runs beside others").isFalse();
    calls.put(call.token(), new Call(body));
  }

  private boolean anyExclusive() {
    return calls.values().stream().anyMatch(call -> call.body.startsWith("exclusive"));
  }

  @Override
  public void pause(long token) {
    calls.get(token).paused = true;
  }

  @Override
  public void resume(long token) {
    calls.get(token).paused = false;
  }

  @Override
  public void cancel(long token) {
    calls.get(token).cancelled = true;
  }

  @Override
  public void probe() {
    assertThat(probing).as("two probes at the same time").isFalse();
    probing = true;
  }

  /** Does one random thing. */
  void step() {
    int dice = random.nextInt(200);
    if (probing && dice % 4 == 0) {
      probing = false;
      agent.onProbe(!down);
    } else if (!calm && dice == 1) {
      crash();
    } else if (dice == 2) {
      down = false;
    } else if (!calls.isEmpty()) {
      List<Long> tokens = List.copyOf(calls.keySet());
      advance(tokens.get(random.nextInt(tokens.size())), dice);
    }
  }

  private void crash() {
    down = random.nextBoolean();
    for (long token : List.copyOf(calls.keySet())) {
      boolean sent = calls.get(token).sent;
      end(token, sent ? Kind.RESET : Kind.NOT_CONNECTED, sent);
    }
  }

  private void end(long token, Kind kind, boolean sent) {
    calls.remove(token);
    agent.onTargetFailed(token, new TargetFailure(kind, sent, kind.name()));
  }

  private void advance(long token, int dice) {
    Call call = calls.get(token);
    if (!call.sent && (down || call.cancelled)) {
      end(token, call.cancelled ? Kind.CANCELLED : Kind.NOT_CONNECTED, false);
    } else if (!call.sent) {
      call.sent = true;
      assertThat(runs.merge(call.body, 1, Integer::sum)).as("runs of " + call.body).isEqualTo(1);
    } else if (call.cancelled && dice % 2 == 0) {
      end(token, Kind.CANCELLED, true);
    } else if (!calm && dice == 3) {
      end(token, Kind.RESET, true);
    } else if (!call.paused) {
      answer(token, call);
    }
  }

  private void answer(long token, Call call) {
    if (call.pieces < 0) {
      call.pieces = 0;
      agent.onTargetHead(token, AnswerHead.newBuilder().setStatus(200).build());
    } else if (call.pieces < PIECES) {
      produced.merge(call.body, PIECE_BYTES, Integer::sum);
      String text = piece(call.body, call.pieces++);
      agent.onTargetData(token, ByteString.copyFromUtf8(text));
    } else {
      calls.remove(token);
      agent.onTargetEnd(token);
    }
  }
}
