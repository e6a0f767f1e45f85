package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Waiting jobs, recent demand and recent service of one route of an organisation, which determine
 * its place in the order of service under overload.
 */
final class RouteDemand {

  /** Fraction of its demand that a route is served before routes of higher rank. */
  static final double FLOOR_FRACTION = 0.1;

  /** Time constant of the decay of demand and service, in milliseconds. */
  private static final double DECAY_MILLIS = 4_000;

  /** Tokens below which demand and service are negligible. */
  private static final double IDLE_TOKENS = 1;

  /** Waiting jobs, first in, first out. */
  private final Deque<Job> jobs = new ArrayDeque<>();

  /** Tokens of the new requests of the route at this router. */
  private final DecayingSum requested = new DecayingSum(DECAY_MILLIS);

  /** Tokens of the route that this router sent to targets. */
  private final DecayingSum served = new DecayingSum(DECAY_MILLIS);

  /** Rank of the latest job; 0 is the highest. */
  private int priority;

  /** Cost of the waiting jobs in tokens. */
  private long waitingTokens;

  /**
   * Records a new request.
   *
   * @param rank the rank of the request
   * @param tokens its cost in tokens
   * @param now the current time in milliseconds
   */
  void onRequested(int rank, long tokens, long now) {
    priority = rank;
    requested.add(tokens, now);
  }

  /**
   * Records a request that was sent to a target.
   *
   * @param tokens its cost in tokens
   * @param now the current time in milliseconds
   */
  void onServed(long tokens, long now) {
    served.add(tokens, now);
  }

  /**
   * Appends a waiting job.
   *
   * @param job the job
   */
  void add(Job job) {
    jobs.addLast(job);
    waitingTokens += FairQueue.cost(job);
  }

  /**
   * Removes a waiting job.
   *
   * @param job the job
   * @return whether it was waiting
   */
  boolean remove(Job job) {
    boolean removed = jobs.remove(job);
    if (removed) {
      onRemoved(job);
    }
    return removed;
  }

  /**
   * Records that a waiting job was removed from {@link #jobs()}.
   *
   * @param job the job
   */
  void onRemoved(Job job) {
    waitingTokens -= FairQueue.cost(job);
  }

  /** Returns the waiting jobs, the oldest first. */
  Deque<Job> jobs() {
    return jobs;
  }

  /** Returns the rank; 0 is the highest. */
  int priority() {
    return priority;
  }

  /**
   * Returns the recent demand.
   *
   * @param now the current time in milliseconds
   * @return the decayed sum of tokens
   */
  double requestedTokens(long now) {
    return requested.at(now);
  }

  /**
   * Returns the fraction of the recent demand that was served.
   *
   * @param now the current time in milliseconds
   * @return the fraction, 0 without service
   */
  double servedFraction(long now) {
    double tokens = served.at(now);
    return tokens <= 0 ? 0 : tokens / Math.max(requested.at(now), Double.MIN_NORMAL);
  }

  /**
   * Returns the served fraction after all waiting jobs have been served.
   *
   * @param now the current time in milliseconds
   * @return the fraction of the recent demand
   */
  double servedFractionWithWaiting(long now) {
    return (served.at(now) + waitingTokens) / Math.max(requested.at(now), Double.MIN_NORMAL);
  }

  /** Returns the cost of the waiting jobs in tokens. */
  long waitingTokens() {
    return waitingTokens;
  }

  /**
   * Estimates the tokens that the route is served until its served fraction reaches a level.
   *
   * @param fraction the level
   * @param millis the time within which further requests arrive, in milliseconds
   * @param now the current time in milliseconds
   * @return the tokens, at most those that wait or are expected to arrive
   */
  double tokensUpTo(double fraction, long millis, long now) {
    double missing = fraction * requested.at(now) - served.at(now);
    return Math.max(0, Math.min(missing, tokensWithin(millis, now)));
  }

  /**
   * Estimates the tokens that wait or arrive within a time.
   *
   * @param millis the time in milliseconds
   * @param now the current time in milliseconds
   * @return the tokens, 0 if no job of the route waits
   */
  double tokensWithin(long millis, long now) {
    // The decayed sum of a steady demand is its rate times the time constant.
    return waitingTokens == 0
        ? 0
        : waitingTokens + requested.at(now) / DECAY_MILLIS * Math.max(0, millis);
  }

  /**
   * Returns whether no job waits, and demand and service are negligible.
   *
   * @param now the current time in milliseconds
   * @return true if the route can be discarded
   */
  boolean isIdle(long now) {
    return jobs.isEmpty() && served.at(now) < IDLE_TOKENS && requested.at(now) < IDLE_TOKENS;
  }
}
