package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.protocol.wire.AnswerEnd;
import org.junit.jupiter.api.Test;

/** Tests {@link Failure}. */
class FailureTest {

  /** Guards against reporting "not run" when the answer contradicts it or the field is missing. */
  @Test
  void trustsNotRunOnlyWithoutAnswer() {
    AnswerEnd no =
        AnswerEnd.newBuilder()
            .setCode("draining")
            .setRan(org.almondslip.protocol.wire.Ran.NO)
            .build();
    assertThat(Failure.of(no, false).ran()).isEqualTo(Ran.NO);
    assertThat(Failure.of(no, true).ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(Failure.of(AnswerEnd.getDefaultInstance(), false).ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(Failure.of(AnswerEnd.getDefaultInstance(), false).code())
        .isEqualTo(ErrorCode.INTERNAL);
  }

  /**
   * Guards against retries of errors caused by the request, and retries of failures without budget.
   */
  @Test
  void knowsWhatRetriesCanChange() {
    for (String code : new String[] {"still-running", "idempotency-key-reused", "cancelled"}) {
      AnswerEnd end = AnswerEnd.newBuilder().setCode(code).build();
      assertThat(Failure.of(end, false).isTransient()).as(code).isFalse();
    }
    Failure failed = Failure.unknown(ErrorCode.TARGET_FAILED, "");
    assertThat(failed.isTransient() && failed.countsAgainstTarget() && failed.consumesRetryBudget())
        .isTrue();
    Failure handedBack = new Failure(ErrorCode.DRAINING, "", Ran.NO, 0);
    assertThat(handedBack.isTransient()).isTrue();
    assertThat(handedBack.countsAgainstTarget() || handedBack.consumesRetryBudget()).isFalse();
  }
}
