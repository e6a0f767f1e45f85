package org.almondslip.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Job that remembers what became of it. */
final class TestJob implements Job {

  /** Name of the organisation. */
  private final String organisation;

  /** Name of the route. */
  private final String route;

  /** Prompt. */
  private final Prompt prompt;

  /** Time of the arrival in milliseconds. */
  private final long arrivedAt;

  /** Objective in milliseconds. */
  private final long objectiveMillis;

  /** Called when the job is sent. */
  private final Consumer<TestJob> onSent;

  /** Targets that were tried. */
  private final Set<String> tried = new HashSet<>();

  /** Target that got the job. */
  private Optional<TargetLoad> target = Optional.empty();

  /** Why the job was refused. */
  private Optional<RefusalReason> refusal = Optional.empty();

  /** Tokens that the target has to read. */
  private int unreadTokens;

  /** How often the prompt was looked at. */
  private int looks;

  /** Whether an earlier send was made. */
  private boolean started;

  /**
   * Creates a job.
   *
   * @param organisation the name of the organisation
   * @param route the name of the route
   * @param shared the id of the shared part of 4,000 tokens
   * @param tokens the tokens of the whole prompt
   * @param arrivedAt the time of the arrival in milliseconds
   * @param objectiveMillis the objective in milliseconds
   * @param onSent called when the job is sent
   */
  TestJob(
      String organisation,
      String route,
      long shared,
      int tokens,
      long arrivedAt,
      long objectiveMillis,
      Consumer<TestJob> onSent) {
    this.organisation = organisation;
    this.route = route;
    this.prompt =
        new Prompt(
            List.of(
                new Prompt.Segment(shared, Math.min(4_000, tokens)),
                new Prompt.Segment(-System.identityHashCode(this), Math.max(0, tokens - 4_000))),
            tokens,
            100);
    this.arrivedAt = arrivedAt;
    this.objectiveMillis = objectiveMillis;
    this.onSent = onSent;
  }

  /**
   * Marks an earlier send.
   *
   * @return this job
   */
  TestJob markRetry() {
    started = true;
    return this;
  }

  /**
   * Returns the target that got the job.
   *
   * @return the target
   */
  Optional<TargetLoad> target() {
    return target;
  }

  /**
   * Returns why the job was refused.
   *
   * @return the reason
   */
  Optional<RefusalReason> refusal() {
    return refusal;
  }

  /**
   * Returns how often the dispatcher looked at the prompt of the job.
   *
   * @return the number
   */
  int looks() {
    return looks;
  }

  /** Ends the job at its target. */
  void end() {
    target.orElseThrow().onPrefilled(unreadTokens);
    target.orElseThrow().onEnded();
  }

  @Override
  public String organisation() {
    return organisation;
  }

  @Override
  public String service() {
    return "s";
  }

  @Override
  public String route() {
    return route;
  }

  @Override
  public Prompt prompt() {
    looks++;
    return prompt;
  }

  @Override
  public Set<String> triedTargets() {
    return tried;
  }

  @Override
  public long dueAt() {
    return arrivedAt + objectiveMillis;
  }

  @Override
  public long localityWaitUntil() {
    return arrivedAt + objectiveMillis / 2;
  }

  @Override
  public boolean isRetry() {
    return started;
  }

  @Override
  public void send(TargetLoad load, double waitMillis) {
    target = Optional.of(load);
    unreadTokens = load.onSent(prompt);
    onSent.accept(this);
  }

  @Override
  public void refuse(RefusalReason reason, long retryAfterMillis) {
    refusal = Optional.of(reason);
  }
}
