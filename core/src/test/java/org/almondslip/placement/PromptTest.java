package org.almondslip.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests {@link Prompt}. */
class PromptTest {

  /**
   * Guards against charging short answers for the maximum that callers set for the longest ones.
   */
  @Test
  void usesHintedOutput() {
    Prompt prompt = new Prompt(List.of(), 600, 950, OptionalInt.of(60));
    assertThat(prompt.expectedOutputTokens()).isEqualTo(60);
  }

  /** Guards against a hint that exceeds the maximum output. */
  @Test
  void limitsHintToMaximumOutput() {
    Prompt prompt = new Prompt(List.of(), 600, 950, OptionalInt.of(5_000));
    assertThat(prompt.expectedOutputTokens()).isEqualTo(950);
  }

  /** Guards against ignoring the output of a request without a hint. */
  @Test
  void expectsOutputWithoutHint() {
    assertThat(new Prompt(List.of(), 600, 950).expectedOutputTokens()).isBetween(1, 949);
    assertThat(Prompt.NONE.expectedOutputTokens()).isZero();
  }
}
