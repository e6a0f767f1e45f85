package org.almondslip.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards that an answer to another request is never counted as completed. */
final class WholeCheckerTest {

  private static PlannedRequest request(int number, RequestKind kind) {
    return new PlannedRequest(number, 0, "acme", kind, "pool");
  }

  private static String completion(PlannedRequest request) {
    String text = WholeChecker.expected(request).text(0);
    return "{\"choices\":[{\"message\":{\"content\":\"" + text + "\"}}]}";
  }

  @Test
  void ownAnswerIsCorrectAndForeignOneIsFound() {
    PlannedRequest own = request(1, RequestKind.TAGGING);
    PlannedRequest other = request(2, RequestKind.TAGGING);
    assertThat(WholeChecker.check(own, completion(own))).isEqualTo(Verdict.CORRECT);
    assertThat(WholeChecker.check(own, completion(other))).isEqualTo(Verdict.FOREIGN_TOKEN);
    assertThat(WholeChecker.check(own, "{\"choi")).isEqualTo(Verdict.INCOMPLETE);
  }

  @Test
  void stockCheckMustBeAnsweredForItsItem() {
    PlannedRequest own = request(7, RequestKind.STOCK_CHECK);
    String right = "{\"path\":\"/stock?item=7\",\"body\":\"\"}";
    assertThat(WholeChecker.check(own, right)).isEqualTo(Verdict.CORRECT);
    assertThat(WholeChecker.check(own, right.replace('7', '8'))).isEqualTo(Verdict.FOREIGN_TOKEN);
  }
}
