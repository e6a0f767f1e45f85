package org.almondslip.execution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Target that records the operations of the agent. */
final class FakeTarget implements AgentEffects {

  /** Started calls, oldest first. */
  final List<TargetCall> calls = new ArrayList<>();

  /** Paused calls. */
  final Set<Long> paused = new HashSet<>();

  /** Cancelled calls, oldest first. */
  final List<Long> cancelled = new ArrayList<>();

  /** Number of probes sent. */
  int probes;

  @Override
  public void start(TargetCall call) {
    calls.add(call);
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
    cancelled.add(token);
  }

  @Override
  public void probe() {
    probes++;
  }
}
