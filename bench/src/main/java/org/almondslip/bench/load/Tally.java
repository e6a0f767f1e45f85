package org.almondslip.bench.load;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of a load. Confined to the event loop of the generator, but for the requests
 * without their end, which samplers read on their own event loop.
 */
public final class Tally {

  /** Longest latency that the histograms hold, in microseconds. */
  private static final long MAX_MICROS = 600_000_000L;

  /** Significant digits of the histograms. */
  private static final int DIGITS = 3;

  /** Time from the planned sending to the first token, in microseconds. */
  private final Histogram firstToken = new Histogram(MAX_MICROS, DIGITS);

  /** Time between tokens, in microseconds. */
  private final Histogram tokenGap = new Histogram(MAX_MICROS, DIGITS);

  /** Refusals by code. */
  private final Map<String, Integer> refused = new TreeMap<>();

  /** Wrong answers by what was found. */
  private final Map<Verdict, Integer> wrong = new EnumMap<>(Verdict.class);

  /** Requests without their end, by organisation within pool. */
  private final Map<String, Map<String, Integer>> outstanding = new ConcurrentHashMap<>();

  /** Bodies of orders that completed. */
  private final Set<String> completedOrders = new HashSet<>();

  /** Bodies of orders that were refused as not run. */
  private final Set<String> notRunOrders = new HashSet<>();

  /** Kinds of the refused requests by code. */
  private final Map<String, Set<RequestKind>> refusedKinds = new TreeMap<>();

  /** Requests without a final answer by the host that had taken them. */
  private final Map<String, Integer> lostByHost = new TreeMap<>();

  /** Refusals that do not say "not run", and error events. */
  private int unknownOutcomes;

  /** Requests that were sent once more, since they certainly had not run. */
  private int sentAgain;

  /** Requests that were sent. */
  private int offered;

  /** Requests whose whole answer arrived. */
  private int completed;

  /** Requests without a final answer. */
  private int lost;

  /**
   * Counts a request that is sent now.
   *
   * @param request the request
   */
  void onSent(PlannedRequest request) {
    offered++;
    count(request, 1);
  }

  /**
   * Counts a first token.
   *
   * @param micros the time since the planned sending
   */
  void onFirstToken(long micros) {
    firstToken.recordValue(Math.min(MAX_MICROS, micros));
  }

  /**
   * Counts a token after the first one.
   *
   * @param micros the time since the token before
   */
  void onNextToken(long micros) {
    tokenGap.recordValue(Math.min(MAX_MICROS, micros));
  }

  /**
   * Counts an answer with a good status.
   *
   * @param request the request
   * @param verdict what the check found
   * @param errorCode the code of an error event, empty when there was none
   */
  void onAnswer(PlannedRequest request, Verdict verdict, String errorCode) {
    count(request, -1);
    if (verdict == Verdict.CORRECT) {
      completed++;
      if (request.kind().isOrder()) {
        completedOrders.add(request.body());
      }
    } else if (verdict == Verdict.ERROR_EVENT) {
      refused.merge(errorCode, 1, Integer::sum);
      refusedKinds.computeIfAbsent(errorCode, code -> new TreeSet<>()).add(request.kind());
      unknownOutcomes++;
    } else if (verdict.isWrong()) {
      wrong.merge(verdict, 1, Integer::sum);
    } else {
      lost++;
    }
  }

  /**
   * Counts a refusal.
   *
   * @param request the request
   * @param code the code
   * @param ran whether it ran, {@code no} or {@code unknown}
   */
  void onRefusal(PlannedRequest request, String code, String ran) {
    count(request, -1);
    refused.merge(code, 1, Integer::sum);
    refusedKinds.computeIfAbsent(code, label -> new TreeSet<>()).add(request.kind());
    if (!ran.equals("no")) {
      unknownOutcomes++;
    }
    if (request.kind().isOrder() && ran.equals("no")) {
      notRunOrders.add(request.body());
    }
  }

  /**
   * Counts a request whose connection broke.
   *
   * @param request the request
   */
  void onLost(PlannedRequest request) {
    count(request, -1);
    lost++;
  }

  /**
   * Notes which host had taken a request that was lost.
   *
   * @param host the host
   */
  void onLostAt(String host) {
    lostByHost.merge(host, 1, Integer::sum);
  }

  /** Counts a request that is sent once more. */
  void onSentAgain() {
    sentAgain++;
  }

  /**
   * Returns the requests without a final answer whose connection to a host broke.
   *
   * @param host the host
   * @return the number
   */
  public int lostAt(String host) {
    return lostByHost.getOrDefault(host, 0);
  }

  /**
   * Returns the kinds of the refused requests.
   *
   * @return the kinds by code
   */
  public Map<String, Set<RequestKind>> refusedKinds() {
    return refusedKinds;
  }

  /**
   * Returns the refusals that do not say "not run", and the error events.
   *
   * @return the number
   */
  public int unknownOutcomes() {
    return unknownOutcomes;
  }

  /**
   * Returns the requests that were sent once more.
   *
   * @return the number
   */
  public int sentAgain() {
    return sentAgain;
  }

  /**
   * Returns the requests without their end.
   *
   * @param pool the pool
   * @return the number of requests by organisation
   */
  public Map<String, Integer> outstanding(String pool) {
    return Map.copyOf(outstanding.getOrDefault(pool, Map.of()));
  }

  /**
   * Returns all requests without their end.
   *
   * @return the number
   */
  public int outstanding() {
    return outstanding.values().stream()
        .flatMap(byOrganisation -> byOrganisation.values().stream())
        .mapToInt(Integer::intValue)
        .sum();
  }

  /**
   * Returns the time from the planned sending to the first token.
   *
   * @return the histogram in microseconds
   */
  public Histogram firstToken() {
    return firstToken;
  }

  /**
   * Returns the time between tokens.
   *
   * @return the histogram in microseconds
   */
  public Histogram tokenGap() {
    return tokenGap;
  }

  /**
   * Returns the refusals.
   *
   * @return the number by code
   */
  public Map<String, Integer> refused() {
    return refused;
  }

  /**
   * Returns the wrong answers.
   *
   * @return the number by what was found
   */
  public Map<Verdict, Integer> wrong() {
    return wrong;
  }

  /**
   * Returns the orders that completed.
   *
   * @return their bodies
   */
  public Set<String> completedOrders() {
    return completedOrders;
  }

  /**
   * Returns the orders that were refused as not run.
   *
   * @return their bodies
   */
  public Set<String> notRunOrders() {
    return notRunOrders;
  }

  /**
   * Returns the requests that were sent.
   *
   * @return the number
   */
  public int offered() {
    return offered;
  }

  /**
   * Returns the requests whose whole answer arrived.
   *
   * @return the number
   */
  public int completed() {
    return completed;
  }

  /**
   * Returns the requests without a final answer.
   *
   * @return the number
   */
  public int lost() {
    return lost;
  }

  /**
   * Changes the number of requests without their end.
   *
   * @param request the request
   * @param change the change
   */
  private void count(PlannedRequest request, int change) {
    outstanding
        .computeIfAbsent(request.pool(), pool -> new ConcurrentHashMap<>())
        .merge(request.organisation(), change, Integer::sum);
  }
}
