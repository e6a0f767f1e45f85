package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.almondslip.placement.Prompt;

/**
 * Jobs of one service in fair order: the organisation that received the least service of the fleet
 * lately comes next. Service counts with exponentially falling weights, so an organisation that was
 * idle cannot save up service, and none waits for ever.
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
    return cost(job.prompt());
  }

  /**
   * Returns the cost of a prompt.
   *
   * @param prompt the prompt
   * @return the tokens read and twice the tokens generated, at least 1
   */
  static long cost(Prompt prompt) {
    return Math.max(1, prompt.promptTokens() + 2L * prompt.outputTokens());
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
   * @param share the service of the organisations
   * @param now the current time in milliseconds
   * @return the jobs, those of the organisation with the least service first
   */
  List<Job> ordered(FairShare share, long now) {
    List<Map.Entry<String, Flow>> waiting = new ArrayList<>();
    for (Map.Entry<String, Flow> entry : flows.entrySet()) {
      if (!entry.getValue().isEmpty()) {
        waiting.add(entry);
      }
    }
    waiting.sort(Comparator.comparingDouble(entry -> share.given(entry.getKey(), now)));
    List<Job> ordered = new ArrayList<>(size);
    waiting.forEach(entry -> ordered.addAll(entry.getValue().ordered(now)));
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
   * Charges the route of a job that is sent.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void charge(Job job, long now) {
    flow(job.organisation()).chargeRoute(job.route(), cost(job), now);
  }

  /**
   * Returns the tokens that the organisation of a new job is given before it, when its routes share
   * its service.
   *
   * @param job the job
   * @return the tokens
   */
  long tokensAhead(Job job) {
    Flow flow = flow(job.organisation());
    return flow.waitingTokens(job.route()) * Math.max(1, flow.waitingRoutes());
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
   * Forgets organisations that wait for nothing and whose routes were not served lately.
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
