package org.almondslip.bench.measure;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards the proof of at-most-once: a second run anywhere in the pool must be found. */
final class RunCheckTest {

  private static JsonNode runs(String organisation, String... bodies)
      throws JsonProcessingException {
    StringBuilder text = new StringBuilder("{\"runs\":[");
    for (String body : bodies) {
      text.append(text.toString().endsWith("[") ? "" : ",");
      text.append("{\"method\":\"POST\",\"organisation\":\"").append(organisation);
      text.append("\",\"body\":\"").append(body).append("\"}");
    }
    return new ObjectMapper().readTree(text.append("]}").toString());
  }

  @Test
  void secondRunAtAnotherTargetIsFound() throws JsonProcessingException {
    List<JsonNode> pages = List.of(runs("acme", "1", "2"), runs("acme", "1", "3"));
    RunCheck check = RunCheck.of(pages, Set.of("1", "2", "4"), Set.of("3", "5"));
    assertThat(check).isEqualTo(new RunCheck(1, 1, 1));
  }

  @Test
  void runsOfTheDirectLoadDoNotCount() throws JsonProcessingException {
    List<JsonNode> pages = List.of(runs("acme", "1"), runs("direct-acme", "1"));
    assertThat(RunCheck.of(pages, Set.of("1"), Set.of())).isEqualTo(new RunCheck(0, 0, 0));
  }
}
