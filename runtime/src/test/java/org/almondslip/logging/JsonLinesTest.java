package org.almondslip.logging;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class JsonLinesTest {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Guards against records that span several lines or lose their fields. */
  @Test
  void recordIsOneJsonObjectWithItsFields() throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonLines.install(Map.of("instance", "router-1"), out);
    logger.atInfo().with(JsonLines.REQUEST_ID, "5-17").log("refused \"%s\"\nafter %d ms", "x", 3);
    // Closing a handler waits until its thread has written all records.
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.close();
    }
    String[] lines = out.toString().split("\n");
    assertThat(lines).hasSize(1);
    JsonNode record = new ObjectMapper().readTree(lines[0]);
    assertThat(record.get("instance").asText()).isEqualTo("router-1");
    assertThat(record.get("request_id").asText()).isEqualTo("5-17");
    assertThat(record.get("message").asText()).isEqualTo("refused \"x\"\nafter 3 ms");
  }
}
