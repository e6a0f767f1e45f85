package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Optional;
import java.util.OptionalLong;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetStatus;

/** Reads and writes the headers that callers, targets and this router exchange. */
public interface HeaderCodec {

  /**
   * Reads the headers of a caller's request.
   *
   * @param headers the headers as the caller sent them
   * @return the decoded values
   */
  RequestHeaders readRequest(MultiMap headers);

  /**
   * Returns whether a header of the caller is forwarded to the target.
   *
   * @param name the name of the header, case-insensitive
   * @return true when the header is forwarded
   */
  boolean isForwarded(String name);

  /**
   * Adds the headers of this router to a request for a target.
   *
   * @param headers the headers of the request
   * @param values the values to add
   */
  void writeTargetRequest(MultiMap headers, TargetRequestHeaders values);

  /**
   * Reads the headers of a target's response.
   *
   * @param headers the headers as the target sent them
   * @return the decoded values
   */
  ResponseHeaders readResponse(MultiMap headers);

  /**
   * Reads the id of the target that responds to a health check.
   *
   * @param headers the headers as the target sent them
   * @return the id, empty if the response does not state it
   */
  default Optional<String> readTargetId(MultiMap headers) {
    return Optional.empty();
  }

  /**
   * Decoded headers of a caller's request.
   *
   * @param requestId the id of the request, empty when it is missing
   * @param deadlineMillis the time that the caller waits, in milliseconds
   * @param apiKey the API key
   * @param prompt the size of the request for a model engine
   * @param lastEventId the id of the last event that the caller received of an earlier stream
   */
  record RequestHeaders(
      String requestId,
      OptionalLong deadlineMillis,
      Optional<String> apiKey,
      Prompt prompt,
      Optional<String> lastEventId) {}

  /**
   * Values of the headers that this router adds to a request for a target.
   *
   * @param deadlineMillis the time that is left, in milliseconds
   * @param targetId the id of the only target that may run the request
   * @param organisation the organisation, empty for a request without a key
   * @param lastEventId the id of the last event that was forwarded
   */
  record TargetRequestHeaders(
      OptionalLong deadlineMillis,
      String targetId,
      Optional<String> organisation,
      Optional<String> lastEventId) {}

  /**
   * Decoded headers of a target's response.
   *
   * @param requestId the id of the request that the target responds to
   * @param notExecuted whether the target states that it did not run the request
   * @param signed whether the target signed its response
   * @param leaving whether the target is about to end and accepts no new requests
   * @param retryAfterMillis the time for which a target that refused the request wants no further
   *     ones of this router, in milliseconds
   * @param load what the target says of its load
   * @param coldMillis the time for which the target stays cold, in milliseconds
   */
  record ResponseHeaders(
      Optional<String> requestId,
      boolean notExecuted,
      boolean signed,
      boolean leaving,
      OptionalLong retryAfterMillis,
      Optional<TargetStatus> load,
      OptionalLong coldMillis) {}
}
