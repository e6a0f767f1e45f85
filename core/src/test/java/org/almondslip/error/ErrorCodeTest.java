package org.almondslip.error;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class ErrorCodeTest {

  private static final Path PAGE = Path.of("..", "docs", "CALLERS.md");
  private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\| (\\d{3}) \\|");

  /**
   * Guards against a code or status that callers see and the page does not list, or the reverse.
   */
  @Test
  void pageForCallersListsEveryCodeWithItsStatus() throws IOException {
    String[] listed =
        ROW.matcher(Files.readString(PAGE))
            .results()
            .map(ErrorCodeTest::codeAndStatus)
            .toArray(String[]::new);
    assertThat(Arrays.stream(ErrorCode.values()).map(code -> code.label() + " " + code.status()))
        .containsExactlyInAnyOrder(listed);
  }

  private static String codeAndStatus(MatchResult row) {
    return row.group(1) + " " + row.group(2);
  }
}
