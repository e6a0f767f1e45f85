package org.almondslip.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.almondslip.standins.target.Completion;
import org.junit.jupiter.api.Test;

/** Guards that a damaged stream is never counted as completed. */
final class StreamCheckerTest {

  private final Completion expected = WholeChecker.expected(request(1));

  private static PlannedRequest request(int number) {
    return new PlannedRequest(number, 0, "acme", RequestKind.FULL_DRAFT, "chat");
  }

  private static String chunk(int id, String token) {
    return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + token + "\"}}]}\n\n";
  }

  private List<String> stream() {
    List<String> events = new ArrayList<>();
    for (int i = 0; i < expected.length(); i++) {
      events.add(chunk(i + 1, expected.token(i)));
    }
    events.add("data: [DONE]\n\n");
    return events;
  }

  private Verdict check(List<String> events) {
    StreamChecker checker = new StreamChecker(expected);
    checker.feed(String.join("", events));
    return checker.verdict();
  }

  @Property(seed = "21")
  void anySplitOfTheOwnStreamIsCorrect(@ForAll @IntRange(min = 1, max = 500) int size) {
    StreamChecker checker = new StreamChecker(expected);
    String text = String.join("", stream());
    int tokens = 0;
    for (int from = 0; from < text.length(); from += size) {
      tokens += checker.feed(text.substring(from, Math.min(text.length(), from + size)));
    }
    assertThat(checker.verdict()).isEqualTo(Verdict.CORRECT);
    assertThat(tokens).isEqualTo(expected.length());
  }

  @Property(seed = "22")
  void missingRepeatedAndForeignTokensAreFound(@ForAll @IntRange(min = 0, max = 40) int position) {
    List<String> missing = stream();
    missing.remove(position);
    assertThat(check(missing)).isEqualTo(Verdict.MISSING_TOKEN);
    List<String> repeated = stream();
    repeated.add(position, repeated.get(position));
    assertThat(check(repeated)).isEqualTo(Verdict.REPEATED_TOKEN);
    List<String> foreign = stream();
    String token = WholeChecker.expected(request(2)).token(position);
    foreign.set(position, chunk(position + 1, token));
    assertThat(check(foreign)).isEqualTo(Verdict.FOREIGN_TOKEN);
  }

  @Test
  void lastTokenThatIsMissingIsFound() {
    List<String> events = stream();
    events.remove(expected.length() - 1);
    assertThat(check(events)).isEqualTo(Verdict.MISSING_TOKEN);
  }

  @Test
  void streamWithoutEndIsIncomplete() {
    List<String> events = stream();
    assertThat(check(events.subList(0, events.size() - 1))).isEqualTo(Verdict.INCOMPLETE);
  }

  @Test
  void errorEventIsReportedWithItsCode() {
    StreamChecker checker = new StreamChecker(expected);
    checker.feed("event: error\ndata: {\"code\":\"stream-interrupted\"}\n\n");
    assertThat(checker.verdict()).isEqualTo(Verdict.ERROR_EVENT);
    assertThat(checker.errorCode()).isEqualTo("stream-interrupted");
  }
}
