package org.almondslip.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Demand and service of organisations, in tokens per second of the simulation. */
final class ServiceRecord {

  /** Length of the windows in which an organisation must receive its share, in seconds. */
  private static final int WINDOW_SECONDS = 6;

  /** Number of largest requests by which the service in a window may fall below the share. */
  private static final int TOLERATED_REQUESTS = 3;

  private final int seconds;

  /** Time that engines spent on reading prompts, in milliseconds, by the second of its start. */
  private final long[] prefillMillis;

  /** Records by name of the organisation. */
  private final Map<String, Entry> entries = new HashMap<>();

  /** Record of one organisation. */
  private static final class Entry {
    /** Tokens of the incoming requests, by second. */
    private final long[] demand;

    /** Tokens of the requests that targets began to serve, by second. */
    private final long[] service;

    /** Whether a request was refused or late, by second. */
    private final boolean[] unmet;

    /** Arrival second and tokens of each request. */
    private final List<long[]> requests = new ArrayList<>();

    private Entry(int seconds) {
      demand = new long[seconds];
      service = new long[seconds];
      unmet = new boolean[seconds];
    }
  }

  /**
   * Window in which an organisation received less than its guaranteed service.
   *
   * @param organisation the name of the organisation
   * @param from the first second of the window
   * @param service the tokens that were served
   * @param guaranteed the tokens that had to be served: per second half of the smaller of the
   *     organisation's demand and the service of the best-served one, less the tolerance
   */
  record Shortfall(String organisation, int from, long service, double guaranteed) {}

  /**
   * Creates an empty record.
   *
   * @param seconds the length of the record, in seconds; later events are ignored
   */
  ServiceRecord(int seconds) {
    this.seconds = seconds;
    this.prefillMillis = new long[seconds];
  }

  /**
   * Records an incoming request.
   *
   * @param organisation the name of the organisation
   * @param atMillis the time of arrival, in milliseconds
   * @param tokens the tokens of the request
   */
  void onRequest(String organisation, long atMillis, long tokens) {
    int second = toSecond(atMillis);
    if (second < seconds) {
      entry(organisation).demand[second] += tokens;
      entry(organisation).requests.add(new long[] {second, tokens});
    }
  }

  /**
   * Records that a target begins to serve a request.
   *
   * @param organisation the name of the organisation
   * @param atMillis the time, in milliseconds
   * @param tokens the tokens of the request
   */
  void onServed(String organisation, long atMillis, long tokens) {
    int second = toSecond(atMillis);
    if (second < seconds) {
      entry(organisation).service[second] += tokens;
    }
  }

  /**
   * Records that a request is refused or late.
   *
   * @param organisation the name of the organisation
   * @param atMillis the time, in milliseconds
   */
  void onUnmet(String organisation, long atMillis) {
    int second = toSecond(atMillis);
    if (second < seconds) {
      entry(organisation).unmet[second] = true;
    }
  }

  /**
   * Records that an engine reads a prompt.
   *
   * @param from the start, in milliseconds
   * @param to the end, in milliseconds
   */
  void onPrefill(long from, long to) {
    int second = toSecond(from);
    if (second < seconds) {
      prefillMillis[second] += to - from;
    }
  }

  /**
   * Returns the total time that engines spent on reading prompts.
   *
   * @param from the first second, inclusive
   * @param to the last second, exclusive
   * @return the time of all engines, in milliseconds
   */
  long prefillMillis(int from, int to) {
    return sum(prefillMillis, from, to);
  }

  /**
   * Returns the service of an organisation.
   *
   * @param organisation the name of the organisation
   * @param from the first second, inclusive
   * @param to the last second, exclusive
   * @return the number of tokens
   */
  long service(String organisation, int from, int to) {
    return sum(entry(organisation).service, from, to);
  }

  /**
   * Returns the service of all organisations.
   *
   * @param from the first second, inclusive
   * @param to the last second, exclusive
   * @return the number of tokens
   */
  long service(int from, int to) {
    return entries.values().stream().mapToLong(entry -> sum(entry.service, from, to)).sum();
  }

  /**
   * Returns the windows in which an organisation had refused or late requests in each second and
   * received less than its guaranteed service.
   *
   * @return the shortfalls
   */
  List<Shortfall> shortfalls() {
    List<Shortfall> found = new ArrayList<>();
    for (String name : entries.keySet().stream().sorted().toList()) {
      for (int from = 0; from + WINDOW_SECONDS <= seconds; from++) {
        shortfall(name, from).ifPresent(found::add);
      }
    }
    return found;
  }

  /** Returns the shortfall of an organisation in the window that begins at the given second. */
  private Optional<Shortfall> shortfall(String name, int from) {
    Entry entry = entries.get(name);
    double guaranteed = 0;
    for (int second = from; second < from + WINDOW_SECONDS; second++) {
      if (!entry.unmet[second]) {
        return Optional.empty();
      }
      guaranteed += Math.min(entry.demand[second], bestService(second)) / 2.0;
    }
    guaranteed -=
        entry.requests.stream()
            .filter(request -> request[0] >= from && request[0] < from + WINDOW_SECONDS)
            .map(request -> request[1])
            .sorted(Comparator.reverseOrder())
            .limit(TOLERATED_REQUESTS)
            .mapToLong(Long::longValue)
            .sum();
    long service = sum(entry.service, from, from + WINDOW_SECONDS);
    return service < guaranteed
        ? Optional.of(new Shortfall(name, from, service, guaranteed))
        : Optional.empty();
  }

  /** Returns the highest service of any organisation in a second, in tokens. */
  private long bestService(int second) {
    return entries.values().stream().mapToLong(entry -> entry.service[second]).max().orElse(0);
  }

  private static long sum(long[] values, int from, int to) {
    long sum = 0;
    for (int second = from; second < to; second++) {
      sum += values[second];
    }
    return sum;
  }

  private Entry entry(String organisation) {
    return entries.computeIfAbsent(organisation, name -> new Entry(seconds));
  }

  private static int toSecond(long millis) {
    return (int) (millis / 1_000);
  }
}
