package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import java.util.Optional;

/** Reads the ids of server-sent events. */
final class EventIds {

  /** Field of the id. */
  private static final String FIELD = "id:";

  /** Not instantiable. */
  private EventIds() {}

  /**
   * Returns the last id in complete events.
   *
   * @param events the events
   * @return the id, empty when no event has one
   */
  static Optional<String> last(ByteString events) {
    String text = events.toStringUtf8();
    int at = text.lastIndexOf(FIELD);
    while (at > 0 && text.charAt(at - 1) != '\n' && text.charAt(at - 1) != '\r') {
      at = text.lastIndexOf(FIELD, at - 1);
    }
    if (at < 0) {
      return Optional.empty();
    }
    int end = at + FIELD.length();
    while (end < text.length() && text.charAt(end) != '\n' && text.charAt(end) != '\r') {
      end++;
    }
    return Optional.of(text.substring(at + FIELD.length(), end).strip());
  }
}
