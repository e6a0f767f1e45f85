package org.almondslip.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.almondslip.standins.target.Completion;

/** Checks a stream of server-sent events against the tokens that its request implies. */
public final class StreamChecker {

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Data of the last event. */
  private static final String DONE = "[DONE]";

  /** Separator of events. */
  private static final String EVENT_END = "\n\n";

  /** Tokens that are expected. */
  private final Completion expected;

  /** Bytes of an event that has not ended. */
  private final StringBuilder partial = new StringBuilder();

  /** Tokens that have arrived. */
  private int tokens;

  /** What was found so far. */
  private Verdict verdict = Verdict.INCOMPLETE;

  /** Code of the error event, empty when there was none. */
  private String errorCode = "";

  /**
   * Creates a checker.
   *
   * @param expected the tokens that are expected
   */
  public StreamChecker(Completion expected) {
    this.expected = expected;
  }

  /**
   * Checks a piece of the stream.
   *
   * @param text the piece
   * @return the number of tokens that it completed
   */
  public int feed(String text) {
    partial.append(text);
    final int before = tokens;
    int end = partial.indexOf(EVENT_END);
    while (end >= 0) {
      onEvent(partial.substring(0, end));
      partial.delete(0, end + EVENT_END.length());
      end = partial.indexOf(EVENT_END);
    }
    return tokens - before;
  }

  /**
   * Returns what was found.
   *
   * @return the verdict, {@code INCOMPLETE} until the end of the stream has arrived
   */
  public Verdict verdict() {
    return verdict;
  }

  /**
   * Returns the code of the error event.
   *
   * @return the code, empty when there was none
   */
  public String errorCode() {
    return errorCode;
  }

  /**
   * Checks an event.
   *
   * @param event the event without its end
   */
  private void onEvent(String event) {
    if (verdict != Verdict.INCOMPLETE) {
      verdict = verdict == Verdict.CORRECT ? Verdict.REPEATED_TOKEN : verdict;
      return;
    }
    String data = field(event, "data: ");
    if (field(event, "event: ").equals("error")) {
      verdict = Verdict.ERROR_EVENT;
      errorCode = parse(data).path("code").asText("error-event");
    } else if (data.equals(DONE)) {
      verdict = tokens == expected.length() ? Verdict.CORRECT : Verdict.MISSING_TOKEN;
    } else {
      onChunk(field(event, "id: "), parse(data));
    }
  }

  /**
   * Checks an event with a token or with the reason to finish.
   *
   * @param id the id of the event
   * @param chunk the data
   */
  private void onChunk(String id, JsonNode chunk) {
    JsonNode choice = chunk.path("choices").path(0);
    String token = choice.path("delta").path("content").asText("");
    if (token.isEmpty()) {
      return;
    }
    int position = id.isEmpty() ? tokens + 1 : Integer.parseInt(id);
    if (position > tokens + 1) {
      verdict = Verdict.MISSING_TOKEN;
    } else if (position < tokens + 1) {
      verdict = Verdict.REPEATED_TOKEN;
    } else if (tokens >= expected.length() || !token.equals(expected.token(tokens))) {
      verdict = Verdict.FOREIGN_TOKEN;
    } else {
      tokens++;
    }
  }

  /**
   * Returns a field of an event.
   *
   * @param event the event
   * @param prefix the name of the field with its separator
   * @return the value, empty when the event does not have it
   */
  private static String field(String event, String prefix) {
    return event
        .lines()
        .filter(line -> line.startsWith(prefix))
        .findFirst()
        .map(line -> line.substring(prefix.length()))
        .orElse("");
  }

  /**
   * Reads JSON.
   *
   * @param text the text
   * @return the JSON, without fields when the text is not valid
   */
  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode();
    }
  }
}
