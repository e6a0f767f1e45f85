package org.almondslip.standins.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * The parts of a chat-completions request that determine the answer.
 *
 * @param model the model
 * @param prompt the contents of all messages, separated by newlines
 * @param maxTokens the largest number of tokens wanted
 * @param stream whether the answer is streamed
 */
public record ChatRequest(String model, String prompt, int maxTokens, boolean stream) {

  /** Tokens of an answer when the request names no limit. */
  private static final int DEFAULT_MAX_TOKENS = 64;

  /** Largest number of tokens of an answer. */
  private static final int TOKEN_LIMIT = 100_000;

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Reads the body of a request.
   *
   * @param body the body
   * @return the request, or empty when the body is not valid
   */
  public static Optional<ChatRequest> parse(String body) {
    try {
      JsonNode json = MAPPER.readTree(body);
      if (json == null || !json.path("messages").isArray()) {
        return Optional.empty();
      }
      StringBuilder prompt = new StringBuilder();
      json.path("messages")
          .forEach(message -> prompt.append(message.path("content").asText()).append('\n'));
      int maxTokens = json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
      return Optional.of(
          new ChatRequest(
              json.path("model").asText(),
              prompt.toString(),
              Math.max(1, Math.min(TOKEN_LIMIT, maxTokens)),
              json.path("stream").asBoolean(false)));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
