package org.almondslip.standins.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/**
 * Faults that {@code POST /faults} sets at a target. Each message replaces the earlier one.
 *
 * @param crashMarker text in a body that crashes the target, empty for none
 * @param downMillis how long the target refuses connections after a crash or for {@code refuse}
 * @param resetAfterEvents events after which a stream is reset, 0 for never
 * @param resetStreams number of streams to reset
 * @param slowFactor factor by which all work takes longer
 * @param silenceOpen whether the connections that are open now go silent for ever
 * @param refuse whether to refuse connections from now on, for the down time
 */
record Faults(
    String crashMarker,
    long downMillis,
    int resetAfterEvents,
    int resetStreams,
    double slowFactor,
    boolean silenceOpen,
    boolean refuse) {

  /** State without faults. */
  static final Faults NONE = new Faults("", 0, 0, 0, 1, false, false);

  /** Reader of the JSON form. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** Down time when a message gives none, in milliseconds. */
  private static final long DEFAULT_DOWN_MILLIS = 500;

  /**
   * Fills in defaults for fields that a message leaves out.
   *
   * @param crashMarker text in a body that crashes the target
   * @param downMillis how long the target refuses connections
   * @param resetAfterEvents events after which a stream is reset
   * @param resetStreams number of streams to reset
   * @param slowFactor factor by which all work takes longer
   * @param silenceOpen whether the connections that are open now go silent for ever
   * @param refuse whether to refuse connections from now on
   */
  Faults {
    crashMarker = crashMarker == null ? "" : crashMarker;
    downMillis = downMillis <= 0 ? DEFAULT_DOWN_MILLIS : downMillis;
    resetStreams = resetAfterEvents > 0 && resetStreams == 0 ? 1 : resetStreams;
    slowFactor = Math.max(1, slowFactor);
  }

  /**
   * Reads the JSON form.
   *
   * @param json the text
   * @return the faults, or empty when the text is not valid
   */
  static Optional<Faults> parse(String json) {
    try {
      return Optional.of(MAPPER.readValue(json, Faults.class));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns whether a body crashes the target.
   *
   * @param body the body
   * @return true when it contains the marker
   */
  boolean crashesOn(String body) {
    return !crashMarker.isEmpty() && body.contains(crashMarker);
  }

  /**
   * Returns whether a stream is to be reset now.
   *
   * @param events the events that it has sent on this connection
   * @return true when it is
   */
  boolean resetsAfter(int events) {
    return resetStreams > 0 && resetAfterEvents > 0 && events >= resetAfterEvents;
  }

  /**
   * Returns the faults after one more stream was reset.
   *
   * @return the faults with one reset less
   */
  Faults withOneResetLess() {
    return new Faults(
        crashMarker,
        downMillis,
        resetAfterEvents,
        resetStreams == 1 ? -1 : resetStreams - 1,
        slowFactor,
        silenceOpen,
        refuse);
  }
}
