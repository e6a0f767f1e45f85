package org.almondslip.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What organisations asked for and were given, second by second. */
final class ServiceRecord {

  /** Length of the spans in which an organisation is promised its part, in seconds. */
  private static final int SPAN_SECONDS = 6;

  /** Number of the largest requests by which a span may fall short. */
  private static final int ALLOWED_REQUESTS = 3;

  /** Length of the record in seconds. */
  private final int seconds;

  /** Time that engines read, by the second in which they began, in milliseconds. */
  private final long[] readMillis;

  /** Records by organisation. */
  private final Map<String, Entry> entries = new HashMap<>();

  /** Record of one organisation. */
  private static final class Entry {
    /** Tokens asked for by second. */
    private final long[] asked;

    /** Tokens that targets began to serve by second. */
    private final long[] given;

    /** Whether a request was refused or late by second. */
    private final boolean[] unmet;

    /** Tokens of all requests with the second in which they came. */
    private final List<long[]> requests = new ArrayList<>();

    /**
     * Creates an empty record.
     *
     * @param seconds its length in seconds
     */
    private Entry(int seconds) {
      asked = new long[seconds];
      given = new long[seconds];
      unmet = new boolean[seconds];
    }
  }

  /**
   * Organisation that went short.
   *
   * @param organisation the name of the organisation
   * @param from the first second of the span
   * @param given the tokens that it was given
   * @param promised half of what it asked for or the best served one was given
   */
  record Shortfall(String organisation, int from, long given, double promised) {}

  /**
   * Creates an empty record.
   *
   * @param seconds its length in seconds
   */
  ServiceRecord(int seconds) {
    this.seconds = seconds;
    this.readMillis = new long[seconds];
  }

  /**
   * Notes a request.
   *
   * @param organisation the name of the organisation
   * @param atMillis the time at which it comes, in milliseconds
   * @param tokens its tokens
   */
  void onAsked(String organisation, long atMillis, long tokens) {
    int second = second(atMillis);
    if (second < seconds) {
      entry(organisation).asked[second] += tokens;
      entry(organisation).requests.add(new long[] {second, tokens});
    }
  }

  /**
   * Notes that a target begins to serve a request.
   *
   * @param organisation the name of the organisation
   * @param atMillis the time in milliseconds
   * @param tokens its tokens
   */
  void onGiven(String organisation, long atMillis, long tokens) {
    int second = second(atMillis);
    if (second < seconds) {
      entry(organisation).given[second] += tokens;
    }
  }

  /**
   * Notes that a request is refused or late.
   *
   * @param organisation the name of the organisation
   * @param atMillis the time in milliseconds
   */
  void onUnmet(String organisation, long atMillis) {
    int second = second(atMillis);
    if (second < seconds) {
      entry(organisation).unmet[second] = true;
    }
  }

  /**
   * Notes that an engine reads a prompt.
   *
   * @param from the start in milliseconds
   * @param to the end in milliseconds
   */
  void onRead(long from, long to) {
    int second = second(from);
    if (second < seconds) {
      readMillis[second] += to - from;
    }
  }

  /**
   * Returns the time that engines read.
   *
   * @param from the first second
   * @param to the second after the last one
   * @return the time of all engines in milliseconds
   */
  long readMillis(int from, int to) {
    return sum(readMillis, from, to);
  }

  /**
   * Returns the tokens that an organisation was given.
   *
   * @param organisation the name of the organisation
   * @param from the first second
   * @param to the second after the last one
   * @return the tokens
   */
  long given(String organisation, int from, int to) {
    return sum(entry(organisation).given, from, to);
  }

  /**
   * Returns the tokens that all organisations were given.
   *
   * @param from the first second
   * @param to the second after the last one
   * @return the tokens
   */
  long given(int from, int to) {
    return entries.values().stream().mapToLong(entry -> sum(entry.given, from, to)).sum();
  }

  /**
   * Returns the spans in which an organisation had unmet requests in each second and was given less
   * than half of what it asked for or the best served one was given.
   *
   * @return the shortfalls
   */
  List<Shortfall> shortfalls() {
    List<Shortfall> found = new ArrayList<>();
    for (String name : entries.keySet().stream().sorted().toList()) {
      for (int from = 0; from + SPAN_SECONDS <= seconds; from++) {
        shortfall(name, from).ifPresent(found::add);
      }
    }
    return found;
  }

  /**
   * Checks one span.
   *
   * @param name the name of the organisation
   * @param from the first second
   * @return the shortfall, empty when the organisation was given its part
   */
  private Optional<Shortfall> shortfall(String name, int from) {
    Entry entry = entries.get(name);
    double promised = 0;
    for (int second = from; second < from + SPAN_SECONDS; second++) {
      if (!entry.unmet[second]) {
        return Optional.empty();
      }
      promised += Math.min(entry.asked[second], best(second)) / 2.0;
    }
    promised -=
        entry.requests.stream()
            .filter(request -> request[0] >= from && request[0] < from + SPAN_SECONDS)
            .map(request -> request[1])
            .sorted(Comparator.reverseOrder())
            .limit(ALLOWED_REQUESTS)
            .mapToLong(Long::longValue)
            .sum();
    long given = sum(entry.given, from, from + SPAN_SECONDS);
    return given < promised
        ? Optional.of(new Shortfall(name, from, given, promised))
        : Optional.empty();
  }

  /**
   * Returns what the best served organisation was given in a second.
   *
   * @param second the second
   * @return the tokens
   */
  private long best(int second) {
    return entries.values().stream().mapToLong(entry -> entry.given[second]).max().orElse(0);
  }

  /**
   * Sums the values of some seconds.
   *
   * @param values the values by second
   * @param from the first second
   * @param to the second after the last one
   * @return the sum
   */
  private static long sum(long[] values, int from, int to) {
    long sum = 0;
    for (int second = from; second < to; second++) {
      sum += values[second];
    }
    return sum;
  }

  /**
   * Returns the record of an organisation.
   *
   * @param organisation the name of the organisation
   * @return the record
   */
  private Entry entry(String organisation) {
    return entries.computeIfAbsent(organisation, name -> new Entry(seconds));
  }

  /**
   * Converts a time.
   *
   * @param millis the time in milliseconds
   * @return the second
   */
  private static int second(long millis) {
    return (int) (millis / 1_000);
  }
}
