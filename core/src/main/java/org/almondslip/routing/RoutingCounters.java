package org.almondslip.routing;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counters of routing events and request outcomes since the start of the router. */
final class RoutingCounters {

  /** Events that are counted. */
  enum Event {
    /** A request was sent to an agent. */
    DISPATCH,
    /** A grant was declined because no request was eligible. */
    DECLINE,
    /** A duplicate grant was received. */
    REPEATED_GRANT,
    /** A failed request was queued for a retry. */
    RETRY,
    /** An interrupted stream was queued to resume after its last event. */
    RESUME,
    /** A failed request was not retried because the retry budget was exhausted. */
    RETRY_REFUSED,
    /** A duplicate answer part was received. */
    REPEATED_ANSWER,
    /** An answer part was received out of order. */
    EARLY_ANSWER,
    /** An answer part matched no attempt in flight. */
    STRAY_ANSWER,
    /** An attempt was moved to a new connection of its agent. */
    REATTACH,
    /** An attempt ended because its agent was lost. */
    AGENT_LOST,
    /** A target was ejected. */
    EJECTION
  }

  /** Counts by event. */
  private final Map<Event, Long> events = new EnumMap<>(Event.class);

  /** Ended requests by the label of their outcome. */
  private final Map<String, Long> outcomes = new TreeMap<>();

  /** Time that dispatched requests have waited, in milliseconds. */
  private long waitMillis;

  /**
   * Counts an event.
   *
   * @param event the event
   */
  void count(Event event) {
    events.merge(event, 1L, Long::sum);
  }

  /**
   * Counts the end of a request.
   *
   * @param label the label of its outcome
   */
  void countOutcome(String label) {
    outcomes.merge(label, 1L, Long::sum);
  }

  /**
   * Adds the wait of a dispatched request.
   *
   * @param millis the wait in milliseconds
   */
  void addWait(long millis) {
    waitMillis += millis;
  }

  /**
   * Returns the count of an event.
   *
   * @param event the event
   * @return the number since the start
   */
  long of(Event event) {
    return events.getOrDefault(event, 0L);
  }

  /**
   * Returns the ended requests by the label of their outcome.
   *
   * @return a copy
   */
  Map<String, Long> outcomes() {
    return Map.copyOf(outcomes);
  }

  /**
   * Returns the time that dispatched requests have waited.
   *
   * @return the sum in milliseconds
   */
  long waitMillis() {
    return waitMillis;
  }

  /**
   * Returns all counts of events by their lower-case name.
   *
   * @return a new map
   */
  Map<String, Long> byName() {
    Map<String, Long> byName = new TreeMap<>();
    for (Event event : Event.values()) {
      byName.put(event.name().toLowerCase(Locale.ROOT), of(event));
    }
    return byName;
  }
}
