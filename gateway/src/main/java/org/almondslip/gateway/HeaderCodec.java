package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Optional;
import java.util.OptionalLong;
import org.almondslip.placement.Prompt;

/** Names and formats of the headers that callers, targets and this router exchange. */
public interface HeaderCodec {

  /**
   * Reads the headers of a request.
   *
   * @param headers the headers as the caller sent them
   * @return what they say
   */
  RequestHeaders readRequest(MultiMap headers);

  /**
   * Returns whether a header of the caller is passed on to the target.
   *
   * @param name the name of the header
   * @return true when it is
   */
  boolean isForwarded(String name);

  /**
   * Adds the headers of this router to a request for a target.
   *
   * @param headers the headers of the request
   * @param values what they say
   */
  void writeTargetRequest(MultiMap headers, TargetRequestHeaders values);

  /**
   * Reads the headers of an answer.
   *
   * @param headers the headers as the target sent them
   * @return what they say
   */
  ResponseHeaders readResponse(MultiMap headers);

  /**
   * What the headers of a request say.
   *
   * @param requestId the id of the request, empty when it is missing
   * @param deadlineMillis the time that the caller waits, in milliseconds
   * @param apiKey the API key
   * @param prompt the size of the request for a model engine
   * @param lastEventId the id of the last event that the caller has of an earlier stream
   */
  record RequestHeaders(
      String requestId,
      OptionalLong deadlineMillis,
      Optional<String> apiKey,
      Prompt prompt,
      Optional<String> lastEventId) {}

  /**
   * What the headers of a request for a target say.
   *
   * @param deadlineMillis the time that is left, in milliseconds
   * @param targetId the id of the only target that may run the request
   * @param organisation the organisation, empty for a request without a key
   * @param lastEventId the id of the last event that was passed on
   */
  record TargetRequestHeaders(
      OptionalLong deadlineMillis,
      String targetId,
      Optional<String> organisation,
      Optional<String> lastEventId) {}

  /**
   * What the headers of an answer say.
   *
   * @param requestId the id of the request that the target answers
   * @param notExecuted whether the target states that it did not run the request
   * @param signed whether the target signed its answer
   */
  record ResponseHeaders(Optional<String> requestId, boolean notExecuted, boolean signed) {}
}
