package org.almondslip.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Tests {@link ResponseViolation}. */
class ResponseViolationTest {

  /** Guards against a reason of a 502 that the operators' page does not explain. */
  @Test
  void operationsPageExplainsEveryViolation() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
    for (ResponseViolation violation : ResponseViolation.values()) {
      assertThat(page).contains(violation.description());
    }
  }
}
