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

/**
 * Simulated target that refuses connections, resets single calls, crashes and answers in chunks.
 */
final class SimulatedTarget implements AgentEffects {

  /** Number of chunks in a complete answer. */
  static final int CHUNKS = 12;

  /** Size of a chunk, in bytes. */
  static final int CHUNK_BYTES = 1_000;

  /** Number of runs of each request, by request body. */
  final Map<String, Integer> runs = new HashMap<>();

  /** Bytes produced for each request, by request body. */
  final Map<String, Integer> produced = new HashMap<>();

  private final Map<Long, Call> calls = new LinkedHashMap<>();

  private final Random random;

  private AgentLogic agent;

  private boolean down;

  private boolean probing;

  private boolean faultsDisabled;

  /** State of a call. */
  private static final class Call {
    private final String body;
    private boolean sent;
    private boolean paused;
    private boolean cancelled;
    private int sentChunks = -1;

    private Call(String body) {
      this.body = body;
    }
  }

  SimulatedTarget(Random random) {
    this.random = random;
  }

  void setAgent(AgentLogic logic) {
    agent = logic;
  }

  /** Disables further faults and restores the target. */
  void disableFaults() {
    faultsDisabled = true;
    down = false;
  }

  /** Returns the content of a chunk, which identifies its request and index. */
  static String chunk(String body, int index) {
    String text = body + "/" + index + ";";
    return text.repeat(1 + CHUNK_BYTES / text.length()).substring(0, CHUNK_BYTES);
  }

  int active() {
    return calls.size();
  }

  @Override
  public void start(TargetCall call) {
    String body = call.body().toStringUtf8();
    boolean mustRunExclusively = body.startsWith("exclusive") || anyExclusive();
    assertThat(mustRunExclusively && !calls.isEmpty())
        .as("a suspected request runs beside others")
        .isFalse();
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

  /** Performs one randomly chosen action. */
  void step() {
    int choice = random.nextInt(200);
    if (probing && choice % 4 == 0) {
      probing = false;
      agent.onProbe(!down);
    } else if (!faultsDisabled && choice == 1) {
      crash();
    } else if (choice == 2) {
      down = false;
    } else if (!calls.isEmpty()) {
      List<Long> tokens = List.copyOf(calls.keySet());
      advance(tokens.get(random.nextInt(tokens.size())), choice);
    }
  }

  private void crash() {
    down = random.nextBoolean();
    for (long token : List.copyOf(calls.keySet())) {
      boolean sent = calls.get(token).sent;
      fail(token, sent ? Kind.RESET : Kind.NOT_CONNECTED, sent);
    }
  }

  private void fail(long token, Kind kind, boolean sent) {
    calls.remove(token);
    agent.onTargetFailed(token, new TargetFailure(kind, sent, kind.name()));
  }

  private void advance(long token, int choice) {
    Call call = calls.get(token);
    if (!call.sent && (down || call.cancelled)) {
      fail(token, call.cancelled ? Kind.CANCELLED : Kind.NOT_CONNECTED, false);
    } else if (!call.sent) {
      call.sent = true;
      assertThat(runs.merge(call.body, 1, Integer::sum)).as("runs of " + call.body).isEqualTo(1);
    } else if (call.cancelled && choice % 2 == 0) {
      fail(token, Kind.CANCELLED, true);
    } else if (!faultsDisabled && choice == 3) {
      fail(token, Kind.RESET, true);
    } else if (!call.paused) {
      answer(token, call);
    }
  }

  private void answer(long token, Call call) {
    if (call.sentChunks < 0) {
      call.sentChunks = 0;
      agent.onTargetHead(token, AnswerHead.newBuilder().setStatus(200).build());
    } else if (call.sentChunks < CHUNKS) {
      produced.merge(call.body, CHUNK_BYTES, Integer::sum);
      String text = chunk(call.body, call.sentChunks++);
      agent.onTargetData(token, ByteString.copyFromUtf8(text));
    } else {
      calls.remove(token);
      agent.onTargetEnd(token);
    }
  }
}
