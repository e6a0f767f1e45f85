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
 * Queue of the jobs of one service, which prefers the organisation with the least recent service
 * across the fleet. Service decays exponentially with age, so an idle organisation accumulates no
 * credit and none starves.
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
   * @param servedTokens the recent service of the organisation in tokens
   */
  private record Cursor(String organisation, Iterator<Job> remaining, double servedTokens) {}

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
        new PriorityQueue<>(Comparator.comparingDouble(Cursor::servedTokens));
    organisations.forEach(
        (name, queue) -> {
          if (!queue.isEmpty()) {
            cursors.add(
                new Cursor(name, queue.ordered(now).iterator(), share.servedTokens(name, now)));
          }
        });
    while (!cursors.isEmpty() && hasCapacity.getAsBoolean()) {
      Cursor cursor = cursors.poll();
      boolean sent = false;
      while (!sent && cursor.remaining().hasNext()) {
        sent = sender.test(cursor.remaining().next());
      }
      if (sent && cursor.remaining().hasNext()) {
        cursors.add(
            new Cursor(
                cursor.organisation(),
                cursor.remaining(),
                share.servedTokens(cursor.organisation(), now)));
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
   * Estimates the tokens that the organisation of a new job is served before it, as the waiting
   * tokens of its route times the number of waiting routes, which share the service evenly.
   *
   * @param job the job
   * @return the number of tokens
   */
  long tokensAhead(Job job) {
    OrganisationQueue queue = queue(job.organisation());
    return queue.waitingTokens(job.route()) * Math.max(1, queue.waitingRoutes());
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
