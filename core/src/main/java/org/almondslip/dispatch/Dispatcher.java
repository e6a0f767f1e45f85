package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.SpeedStatus;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Dispatches jobs to targets with little pending prefill and queues the other jobs in fair order.
 *
 * <p>Targets serve in order of arrival, so under overload a job that is sent early can no longer be
 * reordered. A job whose expected wait exceeds its objective is refused at once, so that its caller
 * can retry when the queue is shorter.
 */
public final class Dispatcher {

  private final Clock clock;

  private final Placement placement;

  private final DispatchLimits limits;

  private final TargetMemory memory;

  private final TargetAvailability availability;

  private final JobAdmission admission;

  private final TargetTable targets = new TargetTable();

  /** Queues by service. */
  private final Map<String, FairQueue> queues = new HashMap<>();

  /** Shares of the organisations by service. */
  private final Map<String, FairShare> shares = new HashMap<>();

  /** Services whose queue is being dispatched; guards against reentrant calls. */
  private final Set<String> dispatching = new HashSet<>();

  private final DispatchStatistics statistics = new DispatchStatistics();

  /**
   * Creates a dispatcher without targets.
   *
   * @param clock the time source
   * @param placement the strategy that selects targets
   * @param model the performance model of the engines
   * @param limits the limits of queues and targets
   */
  public Dispatcher(Clock clock, Placement placement, EngineModel model, DispatchLimits limits) {
    this.clock = clock;
    this.placement = placement;
    this.limits = limits;
    this.memory = new TargetMemory(clock, limits.boundsTargetMemory());
    this.availability = new TargetAvailability(model, limits, memory);
    this.admission = new JobAdmission(clock, placement, model, limits);
  }

  /**
   * Sets the routers of the fleet, which take turns with large prompts.
   *
   * @param self the name of this router
   * @param all the names of all routers
   */
  public void setRouters(String self, Collection<String> all) {
    memory.setRouters(self, all);
  }

  /**
   * Adds a target and dispatches waiting jobs of its service.
   *
   * @param target the target
   */
  public void add(TargetLoad target) {
    targets.add(target);
    dispatchWaiting(target.record().service());
  }

  /**
   * Removes a target if it is known.
   *
   * @param service the service of the target
   * @param id the id of the target
   * @return the target, empty if it is unknown
   */
  public Optional<TargetLoad> remove(String service, String id) {
    return targets.remove(service, id);
  }

  /**
   * Finds a target by its incarnation key.
   *
   * @param key the key, see {@link TargetLoad#incarnationKey()}
   * @return the target, empty if it is unknown
   */
  public Optional<TargetLoad> target(long key) {
    return targets.find(key);
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the name of the service
   * @return the targets, empty if the service is unknown
   */
  public Collection<TargetLoad> targets(String service) {
    return targets.of(service);
  }

  /**
   * Returns the targets of all services.
   *
   * @return a new list of the targets
   */
  public List<TargetLoad> targets() {
    return targets.all();
  }

  /**
   * Returns whether requests are sent only to targets that have memory for them.
   *
   * @return true if other routers need to know which memory the requests of this router hold
   */
  public boolean boundsTargetMemory() {
    return limits.boundsTargetMemory();
  }

  /**
   * Returns the speeds of the targets for whose service they are in force.
   *
   * @return the speed of each target
   */
  public List<SpeedStatus> speeds() {
    return SpeedStatus.of(targets.all(), clock.millis());
  }

  /**
   * Returns the number of waiting jobs of all services.
   *
   * @return the number of jobs
   */
  public int waiting() {
    return queues.values().stream().mapToInt(FairQueue::size).sum();
  }

  /**
   * Returns the token counts of the jobs since the start of the process.
   *
   * @return the counts, updated as jobs are submitted, sent and refused
   */
  public DispatchStatistics statistics() {
    return statistics;
  }

  /**
   * Returns the current queue status of each service that has had a target.
   *
   * @return the status of each service
   */
  public List<DispatchStatus> status() {
    long now = clock.millis();
    List<DispatchStatus> all = new ArrayList<>();
    for (String service : targets.services()) {
      Collection<TargetLoad> known = targets(service);
      all.add(
          new DispatchStatus(
              service,
              queue(service).size(),
              known.size(),
              (int) known.stream().filter(target -> availability.isAvailable(target, now)).count(),
              share(service).evenShare(now),
              share(service).underservedOrganisations(now)));
    }
    return all;
  }

  /**
   * Records demand and service of an organisation that another router reported.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param requestedTokens the tokens requested since the last report
   * @param servedTokens the tokens served since the last report
   */
  public void onPeerUsage(
      String service, String organisation, long requestedTokens, long servedTokens) {
    share(service).onPeerUsage(organisation, requestedTokens, servedTokens, clock.millis());
  }

  /**
   * Returns the recent service of an organisation across all routers.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @return the served tokens, weighted by exponential decay
   */
  public double servedTokens(String service, String organisation) {
    return share(service).servedTokens(organisation, clock.millis());
  }

  /**
   * Accepts a job; before this method returns, the job is sent, queued or refused.
   *
   * @param job the job
   */
  public void submit(Job job) {
    if (job.isQuarantined()) {
      refuse(job, RefusalReason.QUARANTINED);
      return;
    }
    AvailableTargets available =
        new AvailableTargets(targets(job.service()), availability, clock.millis());
    if (!job.isRetry()) {
      share(job.service()).onRequested(job.organisation(), FairQueue.cost(job), clock.millis());
      statistics.onRequested(job.service(), job.organisation(), FairQueue.cost(job));
    }
    if (Exclusion.of(job, targets(job.service())).isPresent()) {
      refuse(job, RefusalReason.NO_TARGET);
      return;
    }
    FairQueue queue = queue(job.service());
    if (queue.size() == 0 || job.isRetry()) {
      Optional<Placement.Choice> choice = choose(job, available);
      if (choice.isPresent()) {
        send(job, choice.get());
        return;
      }
    }
    Optional<RefusalReason> refusal =
        job.isRetry()
            ? Optional.empty()
            : admission.refusalReason(job, queue, share(job.service()), available);
    if (refusal.isPresent()) {
      refuse(job, refusal.get());
      return;
    }
    queue.add(job);
    dispatchWaiting(job.service());
  }

  /**
   * Returns whether an organisation received clearly less than its share.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @return true if an overloaded router accepts its requests at longer delays than those of others
   */
  public boolean isUnderserved(String service, String organisation) {
    return share(service).status(organisation, clock.millis()) == ShareStatus.UNDERSERVED;
  }

  /**
   * Counts a request that was refused before a job was created for it, so that the reports of this
   * router contain the full demand of the organisation.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param prompt the size of the request
   * @param reason why it was refused
   */
  public void onRefused(String service, String organisation, Prompt prompt, RefusalReason reason) {
    long cost = FairQueue.cost(prompt);
    share(service).onRequested(organisation, cost, clock.millis());
    statistics.onRequested(service, organisation, cost);
    statistics.onRefused(service, organisation, reason, cost);
  }

  /**
   * Removes a job from its queue; does nothing if it is not queued.
   *
   * @param job the job
   */
  public void cancel(Job job) {
    queue(job.service()).remove(job);
  }

  /**
   * Sends the waiting jobs of a service for which a target is available.
   *
   * @param service the name of the service
   */
  public void dispatchWaiting(String service) {
    FairQueue queue = queue(service);
    if (queue.size() == 0 || !dispatching.add(service)) {
      // A send that fails immediately calls this method again; the outer call continues the queue.
      return;
    }
    try {
      long now = clock.millis();
      AvailableTargets available = new AvailableTargets(targets(service), availability, now);
      queue.offer(
          share(service), now, job -> trySend(job, queue, available), () -> !available.isEmpty());
    } finally {
      dispatching.remove(service);
    }
  }

  /**
   * Sends a waiting job if a target is available for it.
   *
   * @return whether the job was sent
   */
  private boolean trySend(Job job, FairQueue queue, AvailableTargets available) {
    if (job.isQuarantined()) {
      return false;
    }
    Optional<Placement.Choice> choice = choose(job, available);
    if (choice.isEmpty() || !queue.remove(job)) {
      return false;
    }
    send(job, choice.get());
    available.refresh(choice.get().load());
    return true;
  }

  /** Sends waiting jobs to available targets and refuses the jobs that can no longer be on time. */
  public void tick() {
    for (Map.Entry<String, FairQueue> entry : queues.entrySet()) {
      FairQueue queue = entry.getValue();
      if (queue.size() > 0) {
        for (Job job : queue.removeIf(Job::isQuarantined)) {
          refuse(job, RefusalReason.QUARANTINED);
        }
        dispatchWaiting(entry.getKey());
        expire(entry.getKey(), queue);
      }
      queue.prune(clock.millis());
    }
    shares.values().forEach(share -> share.prune(clock.millis()));
  }

  /** Refuses the jobs that no target may serve or can prefill in time any more. */
  private void expire(String service, FairQueue queue) {
    for (Job job : queue.removeIf(job -> Exclusion.of(job, targets(service)).isPresent())) {
      refuse(job, RefusalReason.NO_TARGET);
    }
    RefusalReason reason =
        targets(service).stream().noneMatch(TargetLoad::isInService)
            ? RefusalReason.NO_TARGET
            : RefusalReason.EXPIRED;
    for (Job job : queue.removeIf(admission.isLate(targets(service)))) {
      boolean memoryShort =
          reason == RefusalReason.EXPIRED
              && targets(service).stream()
                  .noneMatch(target -> memory.permits(target, job.prompt(), clock.millis()));
      refuse(job, memoryShort ? RefusalReason.TARGET_MEMORY : reason);
    }
  }

  private void refuse(Job job, RefusalReason reason) {
    statistics.onRefused(job.service(), job.organisation(), reason, FairQueue.cost(job));
    job.refuse(reason, retryAfterMillis(job.service()));
  }

  /**
   * Chooses an available target for a job. During the locality wait of the job, a target that would
   * have to prefill segments cached elsewhere is not chosen (delay scheduling).
   *
   * @return the target, or empty if the job has to wait
   */
  private Optional<Placement.Choice> choose(Job job, AvailableTargets available) {
    long now = clock.millis();
    ShareStatus status = share(job.service()).status(job.organisation(), now);
    Collection<TargetLoad> candidates =
        job.isRetry()
            ? available.withMemory(job.prompt())
            : available.forPrompt(job.prompt(), status);
    if (candidates.isEmpty() && available.lacksMemory(job.prompt())) {
      statistics.onWithheldForMemory(job.service());
    }
    if (candidates.isEmpty() && status == ShareStatus.OVERSERVED && !available.isEmpty()) {
      statistics.onHeldBack(job.service());
    }
    Optional<Placement.Choice> choice =
        placement.choose(candidates, job.prompt(), job::permits, now);
    if (choice.isEmpty() || !waitsForLocality(job, status, now)) {
      return choice;
    }
    int repeatedTokens =
        choice.get().load().uncachedTokens(job.prompt())
            - placement.leastUncachedTokens(available.all(), job.prompt(), job::permits, now);
    return repeatedTokens > limits.maxRepeatedPrefillTokens() ? Optional.empty() : choice;
  }

  /**
   * Returns whether a job waits for a target that caches its shared segments. Jobs of an
   * underserved organisation do not wait: an organisation with many jobs has one for each target
   * and would be served more often.
   */
  private static boolean waitsForLocality(Job job, ShareStatus status, long now) {
    return !job.isRetry() && now < job.localityWaitUntil() && status != ShareStatus.UNDERSERVED;
  }

  private void send(Job job, Placement.Choice choice) {
    long now = clock.millis();
    long cost = FairQueue.cost(job);
    share(job.service()).onServed(job.organisation(), cost, now);
    queue(job.service()).charge(job, now);
    statistics.onSent(job.service(), job.organisation(), cost);
    choice.load().pace().takePermit(now);
    memory.onSent(choice.load(), job.prompt());
    job.send(choice.load(), choice.expectedDelayMillis());
  }

  /**
   * Returns the delay after which a refused caller may retry. It grows with the queue to at most
   * twice the configured minimum, and is not shorter than a pause that all targets have asked for.
   *
   * @param service the name of the service
   * @return the delay in milliseconds
   */
  public long retryAfterMillis(String service) {
    long now = clock.millis();
    int waiting = Math.min(queue(service).size(), limits.maxWaitingJobs());
    long pauseMillis =
        targets(service).stream()
            .filter(TargetLoad::isInService)
            .mapToLong(target -> target.requestedPauseMillis(now))
            .min()
            .orElse(0);
    return Math.max(
        pauseMillis,
        limits.retryAfterMillis() + limits.retryAfterMillis() * waiting / limits.maxWaitingJobs());
  }

  private FairQueue queue(String service) {
    return queues.computeIfAbsent(service, name -> new FairQueue());
  }

  private FairShare share(String service) {
    return shares.computeIfAbsent(service, name -> new FairShare());
  }
}
