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
 * Queue of the jobs of one service, which prefers the organisation of the highest rank and among
 * equal ones that with the least recent service across the fleet. Service decays exponentially with
 * age, so an idle organisation accumulates no credit and none starves.
 */
final class FairQueue {

  /** Cost of a generated token relative to a prompt token. */
  private static final long GENERATED_TOKEN_WEIGHT = 2;

  /** Queues of organisations with waiting jobs or recent service, by name. */
  private final Map<String, OrganisationQueue> organisations = new HashMap<>();

  /** Number of waiting jobs. */
  private int size;

  /**
   * Position in the queue of an organisation.
   *
   * @param organisation the name of the organisation
   * @param remaining its jobs that were not offered yet
   * @param rank the place of the organisation in the order of ranks
   * @param servedTokens the recent service of the organisation in tokens
   */
  private record Cursor(
      String organisation, Iterator<Job> remaining, int rank, double servedTokens) {

    /** Creates the position for the current order. */
    private static Cursor of(
        String organisation, Iterator<Job> remaining, FairShare share, long now) {
      return new Cursor(
          organisation,
          remaining,
          share.orderRank(organisation, now),
          share.servedTokens(organisation, now));
    }
  }

  /**
   * Returns the cost of a job.
   *
   * @param job the job
   * @return the prompt tokens plus twice the expected output tokens, at least 1
   */
  static long cost(Job job) {
    return cost(job.prompt());
  }

  /**
   * Returns the cost of a prompt.
   *
   * @param prompt the prompt
   * @return the prompt tokens plus twice the expected output tokens, at least 1
   */
  static long cost(Prompt prompt) {
    return Math.max(
        1, prompt.promptTokens() + GENERATED_TOKEN_WEIGHT * prompt.expectedOutputTokens());
  }

  /**
   * Appends a job to the queue of its organisation and route.
   *
   * @param job the job
   */
  void add(Job job) {
    queue(job.organisation()).add(job);
    size++;
  }

  /**
   * Offers each job once in fair order. After one of its jobs was sent, an organisation is offered
   * again when it has the least service.
   *
   * @param share the recent service of the organisations
   * @param now the current time in milliseconds
   * @param sender tries to send a job and returns whether it was sent
   * @param hasCapacity whether further jobs can be sent
   */
  void offer(FairShare share, long now, Predicate<Job> sender, BooleanSupplier hasCapacity) {
    PriorityQueue<Cursor> cursors =
        new PriorityQueue<>(
            Comparator.comparingInt(Cursor::rank).thenComparingDouble(Cursor::servedTokens));
    organisations.forEach(
        (name, queue) -> {
          if (!queue.isEmpty()) {
            cursors.add(Cursor.of(name, queue.ordered(now), share, now));
          }
        });
    while (!cursors.isEmpty() && hasCapacity.getAsBoolean()) {
      Cursor cursor = cursors.poll();
      boolean sent = false;
      while (!sent && cursor.remaining().hasNext()) {
        sent = sender.test(cursor.remaining().next());
      }
      if (sent && cursor.remaining().hasNext()) {
        cursors.add(Cursor.of(cursor.organisation(), cursor.remaining(), share, now));
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
    boolean removed = queue(job.organisation()).remove(job);
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
    organisations.values().forEach(queue -> removed.addAll(queue.removeIf(predicate)));
    size -= removed.size();
    return removed;
  }

  /**
   * Charges the cost of a sent job to its route.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void charge(Job job, long now) {
    queue(job.organisation()).charge(job.route(), cost(job), now);
  }

  /**
   * Records a new request, whether it is sent, queued or refused.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void onRequested(Job job, long now) {
    queue(job.organisation()).onRequested(job, now);
  }

  /**
   * Estimates the tokens that the organisation of a new job is served before it, in the order in
   * which its routes are served.
   *
   * @param job the job, which has been recorded as requested
   * @param now the current time in milliseconds
   * @return the number of tokens
   */
  long tokensAhead(Job job, long now) {
    return Math.round(queue(job.organisation()).tokensAhead(job, now));
  }

  /** Returns the number of waiting jobs. */
  int size() {
    return size;
  }

  /**
   * Removes organisations without waiting jobs and recent service.
   *
   * @param now the current time in milliseconds
   */
  void prune(long now) {
    organisations.values().removeIf(queue -> queue.isIdle(now));
  }

  private OrganisationQueue queue(String organisation) {
    return organisations.computeIfAbsent(organisation, name -> new OrganisationQueue());
  }
}
