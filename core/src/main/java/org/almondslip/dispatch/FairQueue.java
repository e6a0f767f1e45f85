package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.almondslip.placement.Prompt;

/**
 * Jobs of one service in fair order: the organisation that received the least service of the fleet
 * lately comes next. Service counts with exponentially falling weights, so an organisation that was
 * idle cannot save up service, and none waits for ever.
 */
final class FairQueue {

  /** Weight of a generated token against one that is read. */
  private static final long GENERATED_WEIGHT = 2;

  /** Organisations that wait or were served lately, by name. */
  private final Map<String, Flow> flows = new HashMap<>();

  /** Number of waiting jobs. */
  private int size;

  /**
   * Turn of an organisation.
   *
   * @param organisation the name of the organisation
   * @param jobs its jobs that were not offered yet
   * @param given the service of the organisation in tokens
   */
  private record Turn(String organisation, Iterator<Job> jobs, double given) {}

  /**
   * Returns the cost of a job.
   *
   * @param job the job
   * @return the tokens read and twice those expected to be generated, at least 1
   */
  static long cost(Job job) {
    return cost(job.prompt());
  }

  /**
   * Returns the cost of a prompt.
   *
   * @param prompt the prompt
   * @return the tokens read and twice those expected to be generated, at least 1
   */
  static long cost(Prompt prompt) {
    return Math.max(1, prompt.promptTokens() + GENERATED_WEIGHT * prompt.expectedOutputTokens());
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
   * Offers the jobs in fair order. Each job is offered once; an organisation whose job is taken
   * comes next when its service is again the least.
   *
   * @param share the service of the organisations
   * @param now the current time in milliseconds
   * @param taker sends a job and returns whether it did
   * @param goesOn returns whether further jobs can be taken
   */
  void offer(FairShare share, long now, Predicate<Job> taker, BooleanSupplier goesOn) {
    PriorityQueue<Turn> turns = new PriorityQueue<>(Comparator.comparingDouble(Turn::given));
    flows.forEach(
        (name, flow) -> {
          if (!flow.isEmpty()) {
            turns.add(new Turn(name, flow.ordered(now).iterator(), share.given(name, now)));
          }
        });
    while (!turns.isEmpty() && goesOn.getAsBoolean()) {
      Turn turn = turns.poll();
      boolean taken = false;
      while (!taken && turn.jobs().hasNext()) {
        taken = taker.test(turn.jobs().next());
      }
      if (taken && turn.jobs().hasNext()) {
        turns.add(
            new Turn(turn.organisation(), turn.jobs(), share.given(turn.organisation(), now)));
      }
    }
  }

  /**
   * Removes a job.
   *
   * @param job the job
   * @return whether it was waiting
   */
  boolean remove(Job job) {
    boolean removed = flow(job.organisation()).remove(job);
    size -= removed ? 1 : 0;
    return removed;
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
