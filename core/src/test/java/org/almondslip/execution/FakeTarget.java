package org.almondslip.execution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Target that keeps what the agent does to it. */
final class FakeTarget implements AgentEffects {

  /** Calls that were started, the oldest first. */
  final List<TargetCall> calls = new ArrayList<>();

  /** Calls whose answer is not being read. */
  final Set<Long> paused = new HashSet<>();

  /** Calls that were cancelled, the oldest first. */
  final List<Long> cancelled = new ArrayList<>();

  /** Probes that were sent. */
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
