package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.routing.Outcome;
import org.junit.jupiter.api.Test;

/** Cases of {@link Problem}. */
class ProblemTest {

  /** Guards against documents that differ from the callers' page. */
  @Test
  void writesDocumentedFields() {
    Outcome outcome = Outcome.failed(ErrorCode.AGENT_LOST, "the \"agent\"", Ran.UNKNOWN);
    assertThat(Problem.toJson(outcome))
        .isEqualTo(
            "{\"type\":\"about:blank\",\"title\":\"The process beside the target was lost\","
                + "\"status\":502,\"code\":\"agent-lost\",\"detail\":\"the \\\"agent\\\"\","
                + "\"ran\":\"unknown\"}");
    Outcome ran = Outcome.failed(ErrorCode.TARGET_FAILED, "", Ran.YES);
    assertThat(Problem.toJson(ran)).as("only no and unknown").contains("\"ran\":\"unknown\"");
  }

  /** Guards against callers that come back too early. */
  @Test
  void roundsRetryAfterUp() {
    assertThat(Problem.toSeconds(1)).isEqualTo(1);
    assertThat(Problem.toSeconds(1_000)).isEqualTo(1);
    assertThat(Problem.toSeconds(1_001)).isEqualTo(2);
  }
}
