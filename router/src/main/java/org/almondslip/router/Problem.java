package org.almondslip.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.routing.Outcome;

/** Problem documents for callers. */
final class Problem {

  /** Media type of problem documents. */
  static final String MEDIA_TYPE = "application/problem+json";

  /** Writer of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Milliseconds in a second. */
  private static final long SECOND = 1_000;

  /** Not instantiable. */
  private Problem() {}

  /**
   * Writes a failure as JSON.
   *
   * @param outcome the failure
   * @return the document
   */
  static String toJson(Outcome outcome) {
    ErrorCode code = codeOf(outcome);
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("type", "about:blank");
    fields.put("title", code.title());
    fields.put("status", code.status());
    fields.put("code", code.label());
    fields.put("detail", outcome.detail());
    fields.put("ran", outcome.ran() == Ran.NO ? Ran.NO.label() : Ran.UNKNOWN.label());
    try {
      return MAPPER.writeValueAsString(fields);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a problem document has no JSON form", e);
    }
  }

  /**
   * Returns the code of a failure.
   *
   * @param outcome the failure
   * @return its code
   */
  static ErrorCode codeOf(Outcome outcome) {
    return outcome.failure().orElse(ErrorCode.INTERNAL);
  }

  /**
   * Converts a time to retry to the unit of {@code Retry-After}.
   *
   * @param millis the time in milliseconds
   * @return the time in whole seconds, at least 1
   */
  static long toSeconds(long millis) {
    return Math.max(1, (millis + SECOND - 1) / SECOND);
  }
}
