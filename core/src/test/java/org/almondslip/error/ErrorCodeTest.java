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

  private static final Path DOCUMENTATION = Path.of("..", "docs", "CALLERS.md");
  private static final Pattern TABLE_ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\| (\\d{3}) \\|");

  /** The documentation must list exactly the codes and statuses that callers can receive. */
  @Test
  void documentationListsEveryCodeWithItsStatus() throws IOException {
    String[] documentedCodes =
        TABLE_ROW
            .matcher(Files.readString(DOCUMENTATION))
            .results()
            .map(ErrorCodeTest::codeAndStatus)
            .toArray(String[]::new);
    assertThat(Arrays.stream(ErrorCode.values()).map(code -> code.label() + " " + code.status()))
        .containsExactlyInAnyOrder(documentedCodes);
  }

  private static String codeAndStatus(MatchResult row) {
    return row.group(1) + " " + row.group(2);
  }
}
