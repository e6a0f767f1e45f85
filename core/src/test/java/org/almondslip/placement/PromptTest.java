package org.almondslip.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Cases of {@link Prompt}. */
class PromptTest {

  /** Guards against charging short answers with the limit that callers set for the longest ones. */
  @Test
  void expectsTheHintedOutput() {
    Prompt prompt = new Prompt(List.of(), 600, 950, OptionalInt.of(60));
    assertThat(prompt.expectedOutputTokens()).isEqualTo(60);
  }

  /** Guards against a hint beyond what may be generated. */
  @Test
  void expectsNoMoreThanTheLimit() {
    Prompt prompt = new Prompt(List.of(), 600, 950, OptionalInt.of(5_000));
    assertThat(prompt.expectedOutputTokens()).isEqualTo(950);
  }

  /** Guards against a request without a hint that counts as if nothing were generated. */
  @Test
  void expectsSomeOutputWithoutHint() {
    assertThat(new Prompt(List.of(), 600, 950).expectedOutputTokens()).isBetween(1, 949);
    assertThat(Prompt.NONE.expectedOutputTokens()).isZero();
  }
}
