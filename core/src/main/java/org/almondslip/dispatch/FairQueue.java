package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Jobs of one service in fair order: the organisation that received the least service lately comes
 * next. Service counts with exponentially falling weights, so an organisation that was idle cannot
 * save up service, and none waits for ever.
 */
final class FairQueue {

  /** Organisations that wait or were served lately, by name. */
  private final Map<String, Flow> flows = new HashMap<>();

  /** Number of waiting jobs. */
  private int size;

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
   * Adds a job at the end of its organisation and route.
   *
   * @param job the job
   */
  void add(Job job) {
    flow(job.organisation()).add(job);
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
      if (!flow.isEmpty()) {
        waiting.add(flow);
      }
    }
    waiting.sort(Comparator.comparingDouble(flow -> flow.received(now)));
    List<Job> ordered = new ArrayList<>(size);
    waiting.forEach(flow -> ordered.addAll(flow.ordered(now)));
    return ordered;
  }

  /**
   * Removes a job.
   *
   * @param job the job
   */
  void remove(Job job) {
    size -= flow(job.organisation()).removeIf(other -> other == job).size();
  }

  /**
   * Removes the jobs that match.
   *
   * @param predicate the condition
   * @return the removed jobs
   */
  List<Job> removeIf(Predicate<Job> predicate) {
    List<Job> removed = new ArrayList<>();
    flows.values().forEach(flow -> removed.addAll(flow.removeIf(predicate)));
    size -= removed.size();
    return removed;
  }

  /**
   * Charges an organisation for service of another router.
   *
   * @param organisation the name of the organisation
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void charge(String organisation, long tokens, long now) {
    flow(organisation).charge(tokens, now);
  }

  /**
   * Charges the organisation and the route of a job that is sent.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void charge(Job job, long now) {
    Flow flow = flow(job.organisation());
    flow.charge(cost(job), now);
    flow.chargeRoute(job.route(), cost(job), now);
  }

  /**
   * Notes that an organisation asks for service.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void onAsked(Job job, long now) {
    flow(job.organisation()).onAsked(cost(job), now);
  }

  /**
   * Notes that a job was refused.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void onRefused(Job job, long now) {
    flow(job.organisation()).onRefused(now);
  }

  /**
   * Returns whether this router gave an organisation clearly less than it asked for lately.
   *
   * @param organisation the name of the organisation
   * @param now the current time in milliseconds
   * @return true when it did
   */
  boolean isUnderserved(String organisation, long now) {
    return flow(organisation).isUnderserved(now);
  }

  /**
   * Returns the tokens that are served before a new job, when the organisations that received no
   * more than its own share the service.
   *
   * @param job the job
   * @param now the current time in milliseconds
   * @return the tokens
   */
  long tokensAhead(Job job, long now) {
    Flow flow = flow(job.organisation());
    double received = flow.received(now);
    long sharing =
        flows.values().stream()
            .filter(other -> other != flow && !other.isEmpty() && other.received(now) <= received)
            .count();
    return flow.waitingTokens(job.route()) * (sharing + 1) * Math.max(1, flow.waitingRoutes());
  }

  /**
   * Returns the service of the organisations that wait or were refused lately.
   *
   * @param now the current time in milliseconds
   * @return the least and the most service, empty when none waits
   */
  Optional<WaitingRange> waiting(long now) {
    DoubleSummaryStatistics received =
        flows.values().stream()
            .filter(flow -> flow.isBacklogged(now))
            .mapToDouble(flow -> flow.received(now))
            .summaryStatistics();
    return received.getCount() == 0
        ? Optional.empty()
        : Optional.of(new WaitingRange(received.getMin(), received.getMax()));
  }

  /**
   * Returns the service that an organisation received lately.
   *
   * @param organisation the name of the organisation
   * @param now the current time in milliseconds
   * @return the service in tokens
   */
  double received(String organisation, long now) {
    return flow(organisation).received(now);
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
    flows.values().removeIf(flow -> flow.isIdle(now));
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
