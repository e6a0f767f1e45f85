package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Jobs of one service in fair order: the organisation that received the least service lately comes
 * next, and its own jobs keep their order. Service counts with exponentially falling weights, so an
 * organisation that was idle cannot save up service, and none waits for ever.
 */
final class FairQueue {

  /** Time constant of the service that counts, in milliseconds. */
  private static final double SERVICE_MILLIS = 4_000;

  /** Service below which an idle organisation is forgotten, in tokens. */
  private static final double FORGOTTEN_TOKENS = 1;

  /** Organisations that wait or were served lately, by name. */
  private final Map<String, Flow> flows = new HashMap<>();

  /** Number of waiting jobs. */
  private int size;

  /** Jobs of one organisation. */
  private static final class Flow {
    /** Waiting jobs. */
    private final Deque<Job> jobs = new ArrayDeque<>();

    /** Service received by all routers, in tokens. */
    private final DecayingSum received = new DecayingSum(SERVICE_MILLIS);

    /** Tokens of the waiting jobs. */
    private long waitingTokens;
  }

  /**
   * Returns the cost of a job.
   *
   * @param job the job
   * @return the tokens read and twice the tokens generated, at least 1
   */
  static long cost(Job job) {
    return Math.max(1, job.prompt().promptTokens() + 2L * job.prompt().outputTokens());
  }

  /**
   * Adds a job at the end of its organisation.
   *
   * @param job the job
   */
  void add(Job job) {
    Flow flow = flow(job.organisation());
    flow.jobs.addLast(job);
    flow.waitingTokens += cost(job);
    size++;
  }

  /**
   * Returns all jobs.
   *
   * @param now the current time in milliseconds
   * @return the jobs, those of the organisation with the least service first
   */
  List<Job> ordered(long now) {
    List<Flow> waiting = new ArrayList<>();
    for (Flow flow : flows.values()) {
      if (!flow.jobs.isEmpty()) {
        waiting.add(flow);
      }
    }
    waiting.sort(Comparator.comparingDouble(flow -> flow.received.at(now)));
    List<Job> ordered = new ArrayList<>(size);
    waiting.forEach(flow -> ordered.addAll(flow.jobs));
    return ordered;
  }

  /**
   * Removes a job.
   *
   * @param job the job
   */
  void remove(Job job) {
    Flow flow = flow(job.organisation());
    if (flow.jobs.remove(job)) {
      flow.waitingTokens -= cost(job);
      size--;
    }
  }

  /**
   * Charges an organisation for service.
   *
   * @param organisation the name of the organisation
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void charge(String organisation, long tokens, long now) {
    flow(organisation).received.add(tokens, now);
  }

  /**
   * Removes the jobs that match.
   *
   * @param predicate the condition
   * @return the removed jobs
   */
  List<Job> removeIf(Predicate<Job> predicate) {
    List<Job> removed = new ArrayList<>();
    for (Flow flow : flows.values()) {
      for (Iterator<Job> jobs = flow.jobs.iterator(); jobs.hasNext(); ) {
        Job job = jobs.next();
        if (predicate.test(job)) {
          jobs.remove();
          flow.waitingTokens -= cost(job);
          size--;
          removed.add(job);
        }
      }
    }
    return removed;
  }

  /**
   * Returns the tokens that an organisation waits for.
   *
   * @param organisation the name of the organisation
   * @return the tokens
   */
  long waitingTokens(String organisation) {
    return Optional.ofNullable(flows.get(organisation)).map(flow -> flow.waitingTokens).orElse(0L);
  }

  /**
   * Returns the number of organisations with waiting jobs.
   *
   * @return the number
   */
  int waitingOrganisations() {
    return (int) flows.values().stream().filter(flow -> !flow.jobs.isEmpty()).count();
  }

  /**
   * Returns the number of waiting jobs.
   *
   * @return the number
   */
  int size() {
    return size;
  }

  /**
   * Forgets organisations that wait for nothing and were not served lately.
   *
   * @param now the current time in milliseconds
   */
  void prune(long now) {
    flows
        .values()
        .removeIf(flow -> flow.jobs.isEmpty() && flow.received.at(now) < FORGOTTEN_TOKENS);
  }

  /**
   * Returns the flow of an organisation.
   *
   * @param organisation the name of the organisation
   * @return the flow
   */
  private Flow flow(String organisation) {
    return flows.computeIfAbsent(organisation, name -> new Flow());
  }
}
