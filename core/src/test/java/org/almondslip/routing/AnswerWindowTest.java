package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link AnswerWindow}. */
class AnswerWindowTest {

  private final AnswerWindow window = new AnswerWindow();

  /** Guards against forwarding parts twice or out of order. */
  @Test
  void ordersParts() {
    assertThat(window.orderOf(0)).isEqualTo(AnswerWindow.Order.NEXT);
    assertThat(window.orderOf(1)).isEqualTo(AnswerWindow.Order.GAP);
    window.accept(0);
    assertThat(window.orderOf(0)).isEqualTo(AnswerWindow.Order.DUPLICATE);
    assertThat(window.orderOf(1)).isEqualTo(AnswerWindow.Order.NEXT);
  }

  /** Guards against acknowledging what a caller has not read, and against a frame for each part. */
  @Test
  void acknowledgesConsumedPartsInSteps() {
    window.accept(0);
    window.accept(AnswerWindow.ACK_BYTES);
    window.accept(2 * AnswerWindow.ACK_BYTES);
    assertThat(window.acknowledge(AnswerWindow.ACK_BYTES - 1)).isZero();
    assertThat(window.acknowledge(AnswerWindow.ACK_BYTES + 5)).isEqualTo(2);
    assertThat(window.acknowledge(2 * AnswerWindow.ACK_BYTES)).as("too soon").isZero();
  }

  /** Guards against a request for missing parts with each early part. */
  @Test
  void reportsGapsAtIntervals() {
    assertThat(window.tryReportGap(0, 200)).isTrue();
    assertThat(window.tryReportGap(199, 200)).isFalse();
    assertThat(window.tryReportGap(200, 200)).isTrue();
  }
}
