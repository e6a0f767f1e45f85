package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import java.util.Optional;

/** Extracts the ids of server-sent events. */
final class EventIds {

  private static final String FIELD = "id:";

  private EventIds() {}

  /**
   * Returns the id of the last event that has one.
   *
   * @param events complete server-sent events
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
