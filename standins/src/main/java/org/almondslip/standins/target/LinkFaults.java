package org.almondslip.standins.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/**
 * Faults that {@code POST /faults} sets at a link. Each message replaces the earlier one.
 *
 * @param cutForward whether bytes from the connecting side are lost
 * @param cutBackward whether bytes to the connecting side are lost
 * @param silenceOpen whether the connections that are open now lose all bytes for ever
 * @param dropOpen whether the connections that are open now are closed
 * @param refuse whether new connections are closed at once
 */
record LinkFaults(
    boolean cutForward,
    boolean cutBackward,
    boolean silenceOpen,
    boolean dropOpen,
    boolean refuse) {

  /** State without faults. */
  static final LinkFaults NONE = new LinkFaults(false, false, false, false, false);

  /** Reader of the JSON form. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /**
   * Reads the JSON form.
   *
   * @param json the text
   * @return the faults, or empty when the text is not valid
   */
  static Optional<LinkFaults> parse(String json) {
    try {
      return Optional.of(MAPPER.readValue(json, LinkFaults.class));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
