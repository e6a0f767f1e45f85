package org.almondslip.routing;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts of what the decisions of a router did since its start. */
final class RoutingCounters {

  /** Events that are counted. */
  enum Event {
    /** A request was sent to an agent. */
    DISPATCH,
    /** A grant found nothing to send. */
    DECLINE,
    /** A grant arrived again. */
    REPEATED_GRANT,
    /** A failed request was queued again. */
    RETRY,
    /** A broken stream was queued again to continue after its last event. */
    RESUME,
    /** A failed request was not tried again for lack of retry budget. */
    RETRY_REFUSED,
    /** An answer part arrived again. */
    REPEATED_ANSWER,
    /** An answer part arrived before earlier ones. */
    EARLY_ANSWER,
    /** An answer part belonged to no attempt in flight. */
    STRAY_ANSWER,
    /** A running request moved to a new connection. */
    REATTACH,
    /** An agent was lost with a request in flight. */
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
