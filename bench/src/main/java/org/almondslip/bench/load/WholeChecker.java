package org.almondslip.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.almondslip.standins.target.ChatRequest;
import org.almondslip.standins.target.Completion;

/** Checks whole answers against their requests. */
public final class WholeChecker {

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Not instantiable. */
  private WholeChecker() {}

  /**
   * Returns the tokens that answer a request.
   *
   * @param request the request
   * @return the tokens
   */
  public static Completion expected(PlannedRequest request) {
    return Completion.of(ChatRequest.parse(request.body()).orElseThrow());
  }

  /**
   * Checks an answer.
   *
   * @param request the request
   * @param body the answer
   * @return what was found
   */
  public static Verdict check(PlannedRequest request, String body) {
    JsonNode json;
    try {
      json = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return Verdict.INCOMPLETE;
    }
    boolean own =
        request.kind().isModel()
            ? json.at("/choices/0/message/content").asText().equals(expected(request).text(0))
            : json.path("body").asText().equals(request.body()) && ownPath(request, json);
    return own ? Verdict.CORRECT : Verdict.FOREIGN_TOKEN;
  }

  /**
   * Returns whether a service answered for the path of the request.
   *
   * @param request the request
   * @param json the answer
   * @return true when the path is the one of the request
   */
  private static boolean ownPath(PlannedRequest request, JsonNode json) {
    return json.path("path").asText().endsWith(request.kind().path(request.number()));
  }
}
