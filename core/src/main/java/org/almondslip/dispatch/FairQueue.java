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
 * Jobs of one service in start-time fair order: the organisation that received the least service
 * comes next, and its own jobs keep their order. An organisation that was idle starts at the
 * virtual time of the service, so that it cannot save up service.
 */
final class FairQueue {

  /** Waiting organisations and those whose virtual time is ahead, by name. */
  private final Map<String, Flow> flows = new HashMap<>();

  /** Virtual time of the service, in tokens. */
  private double virtualTime;

  /** Number of waiting jobs. */
  private int size;

  /** Jobs of one organisation. */
  private static final class Flow {
    /** Waiting jobs. */
    private final Deque<Job> jobs = new ArrayDeque<>();

    /** Service received, in tokens of virtual time. */
    private double received;

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
    Flow flow = flow(job);
    if (flow.jobs.isEmpty()) {
      flow.received = Math.max(flow.received, virtualTime);
    }
    flow.jobs.addLast(job);
    flow.waitingTokens += cost(job);
    size++;
  }

  /**
   * Returns the first jobs of all organisations.
   *
   * @return the jobs, the one of the organisation with the least service first
   */
  List<Job> heads() {
    List<Flow> waiting = new ArrayList<>();
    for (Flow flow : flows.values()) {
      if (!flow.jobs.isEmpty()) {
        waiting.add(flow);
      }
    }
    waiting.sort(Comparator.comparingDouble(flow -> flow.received));
    List<Job> heads = new ArrayList<>();
    waiting.forEach(flow -> heads.add(flow.jobs.peekFirst()));
    return heads;
  }

  /**
   * Removes a job that is sent and charges its organisation.
   *
   * @param job the job, the first of its organisation
   */
  void take(Job job) {
    Flow flow = flow(job);
    virtualTime = Math.max(virtualTime, flow.received);
    discard(flow, job);
    flow.received += cost(job);
  }

  /**
   * Charges an organisation for a job that did not wait.
   *
   * @param job the job
   */
  void charge(Job job) {
    Flow flow = flow(job);
    flow.received = Math.max(flow.received, virtualTime) + cost(job);
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

  /** Forgets organisations that wait for nothing and are owed nothing. */
  void prune() {
    flows.values().removeIf(flow -> flow.jobs.isEmpty() && flow.received <= virtualTime);
  }

  /**
   * Returns the flow of a job's organisation.
   *
   * @param job the job
   * @return the flow
   */
  private Flow flow(Job job) {
    return flows.computeIfAbsent(job.organisation(), name -> new Flow());
  }

  /**
   * Removes a job from a flow.
   *
   * @param flow the flow
   * @param job the job
   */
  private void discard(Flow flow, Job job) {
    if (flow.jobs.remove(job)) {
      flow.waitingTokens -= cost(job);
      size--;
    }
  }
}
