package org.almondslip.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.junit.jupiter.api.Test;

class CrashingRequestTest {

  private static final String BODY = "please " + FakeTarget.CRASH;

  private final FaultFleet fleet = new FaultFleet();

  /** Guards against one request that takes down target after target as its caller repeats it. */
  @Test
  void requestThatCrashesTargetsTakesTwoAtMost() {
    for (int i = 0; i < 6; i++) {
      long number = fleet.submit(i % 2, "hanbit", Workload.Kind.STREAM, BODY);
      fleet.advance(5_000);
      assertThat(fleet.history().submission(number).ended()).isTrue();
    }
    assertThat(fleet.history().runsOf(BODY)).isEqualTo(2);
    long last = fleet.submit(0, "hanbit", Workload.Kind.STREAM, BODY);
    fleet.advance(100);
    assertThat(fleet.history().submission(last).outcome())
        .hasValueSatisfying(
            outcome -> {
              assertThat(outcome.failure()).contains(ErrorCode.REQUEST_CRASHES_TARGETS);
              assertThat(outcome.ran()).isEqualTo(Ran.NO);
            });
  }

  /** Guards against a harmless request that is refused because it ran beside a crashing one. */
  @Test
  void neighboursOfCrashAreClearedAndComplete() {
    for (int i = 0; i < 6; i++) {
      fleet.submit(1, "crockera", Workload.Kind.STREAM, "harmless-" + i);
    }
    fleet.submit(0, "hanbit", Workload.Kind.STREAM, BODY);
    fleet.advance(30_000);
    fleet.history().check();
    assertThat(fleet.history().completed()).isEqualTo(6);
    fleet.submit(1, "crockera", Workload.Kind.STREAM, "harmless-0");
    fleet.advance(5_000);
    assertThat(fleet.history().completed()).isEqualTo(7);
  }

  /** Guards against a crash mark that dies with the agent that saw the crash. */
  @Test
  void markSurvivesTheDeathOfTheAgentThatSawTheCrash() {
    fleet.submit(0, "hanbit", Workload.Kind.STREAM, BODY);
    fleet.advance(100);
    for (int i = 0; i < fleet.agents(); i++) {
      fleet.killAgent(i);
      fleet.restartAgent(i);
    }
    fleet.advance(3_000);
    for (int i = 0; i < 3; i++) {
      fleet.submit(1, "hanbit", Workload.Kind.STREAM, BODY);
      fleet.advance(5_000);
    }
    assertThat(fleet.history().runsOf(BODY)).isLessThanOrEqualTo(2);
  }
}
