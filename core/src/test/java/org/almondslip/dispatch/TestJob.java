package org.almondslip.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.residency.AllowedRegions;

/** Job that records its outcome. */
final class TestJob implements Job {

  private final String organisation;

  private final String route;

  private final Prompt prompt;

  /** Arrival time in milliseconds. */
  private final long arrivedAt;

  /** Objective in milliseconds. */
  private final long objectiveMillis;

  /** Called when the job is sent. */
  private final Consumer<TestJob> onSent;

  private final Set<String> tried = new HashSet<>();

  /** Target that the job was sent to. */
  private Optional<TargetLoad> target = Optional.empty();

  /** Why the job was refused. */
  private Optional<RefusalReason> refusal = Optional.empty();

  /** Tokens that the target has to prefill. */
  private int uncachedTokens;

  /** Number of calls to {@link #prompt()}. */
  private int promptCalls;

  private boolean retry;

  private boolean quarantined;

  /** Regions in which the job may run. */
  private AllowedRegions regions = AllowedRegions.ANY;

  /**
   * Creates a job.
   *
   * @param organisation the name of the organisation
   * @param route the name of the route
   * @param shared the id of the shared segment of up to 4,000 tokens
   * @param tokens the number of tokens of the whole prompt
   * @param arrivedAt the arrival time in milliseconds
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
   * Marks the job as sent to a target before.
   *
   * @return this job
   */
  TestJob markRetry() {
    retry = true;
    return this;
  }

  /**
   * Marks the job as sent to a target before, which must not get it again.
   *
   * @param id the id of the target
   * @return this job
   */
  TestJob markTried(String id) {
    tried.add(id);
    return markRetry();
  }

  /** Sets the regions in which the job may run from now on. */
  TestJob allow(AllowedRegions allowed) {
    regions = allowed;
    return this;
  }

  /** Returns the target that the job was sent to, empty if it was not sent. */
  Optional<TargetLoad> target() {
    return target;
  }

  /** Returns why the job was refused, empty if it was not refused. */
  Optional<RefusalReason> refusal() {
    return refusal;
  }

  /** Returns how often the prompt of the job was requested. */
  int promptCalls() {
    return promptCalls;
  }

  /** Records that the target has prefilled and finished the job. */
  void end() {
    target.orElseThrow().onPrefilled(uncachedTokens);
    target.orElseThrow().onEnded(prompt);
  }

  /** Quarantines the job. */
  void quarantine() {
    quarantined = true;
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
    promptCalls++;
    return prompt;
  }

  @Override
  public Set<String> triedTargets() {
    return tried;
  }

  @Override
  public boolean permits(TargetLoad load) {
    return Job.super.permits(load) && regions.permits(load.record().region());
  }

  @Override
  public boolean isRestricted() {
    return regions.isRestricted();
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
  public boolean isQuarantined() {
    return quarantined;
  }

  @Override
  public boolean isRetry() {
    return retry;
  }

  @Override
  public void send(TargetLoad load, double expectedDelayMillis) {
    target = Optional.of(load);
    uncachedTokens = load.onSent(prompt);
    onSent.accept(this);
  }

  @Override
  public void refuse(RefusalReason reason, long retryAfterMillis) {
    refusal = Optional.of(reason);
  }
}
