package org.almondslip.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Compares the runs that the plain services recorded with what callers were told.
 *
 * @param duplicated orders that ran more than once
 * @param completedWithoutRun orders whose caller got an answer although no run is recorded
 * @param ranAlthoughRefused orders whose caller was told "not run" although a run is recorded
 */
public record RunCheck(int duplicated, int completedWithoutRun, int ranAlthoughRefused) {

  /** Prefix of the organisations of loads that are sent straight to the targets. */
  public static final String DIRECT_PREFIX = "direct-";

  /**
   * Compares runs and answers. Runs of loads that were sent straight to the targets do not count.
   *
   * @param runs the answers of {@code GET /runs} of all services
   * @param completed bodies of orders whose caller got the answer
   * @param notRun bodies of orders whose caller was told "not run"
   * @return the result
   */
  public static RunCheck of(Collection<JsonNode> runs, Set<String> completed, Set<String> notRun) {
    Map<String, Integer> counts = new HashMap<>();
    for (JsonNode page : runs) {
      for (JsonNode run : page.path("runs")) {
        boolean direct = run.path("organisation").asText().startsWith(DIRECT_PREFIX);
        if (!direct && run.path("method").asText().equals("POST")) {
          counts.merge(run.path("body").asText(), 1, Integer::sum);
        }
      }
    }
    long duplicated = counts.values().stream().filter(count -> count > 1).count();
    long missing = completed.stream().filter(body -> !counts.containsKey(body)).count();
    long untrue = notRun.stream().filter(counts::containsKey).count();
    return new RunCheck((int) duplicated, (int) missing, (int) untrue);
  }
}
