package org.almondslip.standins.target;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards that an answer depends on nothing but its request, else a resumed stream would differ. */
final class CompletionTest {

  @Property(seed = "11")
  void equalRequestsGiveEqualTokens(
      @ForAll String prompt, @ForAll @IntRange(min = 1, max = 300) int maxTokens) {
    Completion one = Completion.of(new ChatRequest("m", prompt, maxTokens, true));
    Completion two = Completion.of(new ChatRequest("m", prompt, maxTokens, false));
    assertThat(one.text(0)).isEqualTo(two.text(0));
    assertThat(one.length()).isBetween(1, maxTokens);
  }

  @Property(seed = "12")
  void otherPromptGivesOtherTokens(@ForAll @IntRange(min = 0) int number) {
    Completion one = Completion.of(new ChatRequest("m", "p" + number, 100, true));
    Completion two = Completion.of(new ChatRequest("m", "q" + number, 100, true));
    assertThat(one.text(0)).isNotEqualTo(two.text(0));
  }
}
