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
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Sends jobs to targets while these have little unread work, and keeps the others in fair order.
 *
 * <p>The load it answers is more work than the targets can do: engines serve in order of arrival,
 * so work that is sent early can no longer be ordered. A job whose expected wait exceeds what its
 * objective allows is refused at once; the caller may come back when the queue has moved on.
 */
public final class Dispatcher {

  /** Source of time. */
  private final Clock clock;

  /** Choice of targets. */
  private final Placement placement;

  /** Limits of the queues. */
  private final DispatchLimits limits;

  /** Room of targets. */
  private final TargetRoom room;

  /** Decision which jobs can be on time. */
  private final JobAdmission admission;

  /** Targets. */
  private final TargetTable targets = new TargetTable();

  /** Queues by service. */
  private final Map<String, FairQueue> queues = new HashMap<>();

  /** Shares of the organisations by service. */
  private final Map<String, FairShare> shares = new HashMap<>();

  /** Services whose jobs are being sent. */
  private final Set<String> pumping = new HashSet<>();

  /** Counts of jobs. */
  private final DispatchStatistics statistics = new DispatchStatistics();

  /**
   * Creates a dispatcher without targets.
   *
   * @param clock the source of time
   * @param placement the choice of targets
   * @param model the speed of the engines
   * @param limits the limits of the queues
   */
  public Dispatcher(Clock clock, Placement placement, EngineModel model, DispatchLimits limits) {
    this.clock = clock;
    this.placement = placement;
    this.limits = limits;
    this.room = new TargetRoom(model, limits);
    this.admission = new JobAdmission(clock, placement, model, limits);
  }

  /**
   * Adds a target.
   *
   * @param target the target
   */
  public void add(TargetLoad target) {
    targets.add(target);
    dispatchWaiting(target.record().service());
  }

  /**
   * Removes a target.
   *
   * @param service the name of its service
   * @param id the id of the target
   */
  public void remove(String service, String id) {
    targets.remove(service, id);
  }

  /**
   * Finds a target.
   *
   * @param key the key that all routers share
   * @return the target
   */
  public Optional<TargetLoad> target(long key) {
    return targets.find(key);
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the name of the service
   * @return the targets
   */
  public Collection<TargetLoad> targets(String service) {
    return targets.of(service);
  }

  /**
   * Returns all targets.
   *
   * @return the targets
   */
  public List<TargetLoad> targets() {
    return targets.all();
  }

  /**
   * Returns the number of waiting jobs.
   *
   * @return the number
   */
  public int waiting() {
    return queues.values().stream().mapToInt(FairQueue::size).sum();
  }

  /**
   * Returns the counts of jobs.
   *
   * @return the counts
   */
  public DispatchStatistics statistics() {
    return statistics;
  }

  /**
   * Returns the state of the queues of all services with targets.
   *
   * @return the states
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
              (int) known.stream().filter(target -> room.isOpen(target, now)).count(),
              share(service).level(now),
              share(service).underserved(now)));
    }
    return all;
  }

  /**
   * Takes what an organisation asked another router for and was given there.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param asked the tokens asked for
   * @param given the tokens given
   */
  public void onPeerUsage(String service, String organisation, long asked, long given) {
    share(service).onPeer(organisation, asked, given, clock.millis());
  }

  /**
   * Returns the service that all routers gave an organisation lately.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @return the service in tokens, recent ones count most
   */
  public double servedTokens(String service, String organisation) {
    return share(service).given(organisation, clock.millis());
  }

  /**
   * Takes a job: it is sent, kept or refused before this method returns.
   *
   * @param job the job
   */
  public void submit(Job job) {
    FairQueue queue = queue(job.service());
    OpenTargets open = new OpenTargets(targets(job.service()), room, clock.millis());
    if (!job.isRetry()) {
      share(job.service()).onAsked(job.organisation(), FairQueue.cost(job), clock.millis());
      statistics.onAsked(job.service(), job.organisation(), FairQueue.cost(job));
    }
    if (queue.size() == 0 || job.isRetry()) {
      Optional<Placement.Choice> choice = choose(job, open);
      if (choice.isPresent()) {
        send(job, choice.get());
        return;
      }
    }
    Optional<RefusalReason> obstacle =
        job.isRetry()
            ? Optional.empty()
            : admission.obstacle(job, queue, share(job.service()), open);
    if (obstacle.isPresent()) {
      refuse(job, queue, obstacle.get());
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
   * @return true when its requests are served somewhat longer than others by a late router
   */
  public boolean isUnderserved(String service, String organisation) {
    return share(service).standing(organisation, clock.millis()) == Standing.UNDERSERVED;
  }

  /**
   * Counts a request that was refused before it became a job, so that the fleet knows what its
   * organisation asked for.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param prompt the size of the request
   * @param reason why it was refused
   */
  public void onRefused(String service, String organisation, Prompt prompt, RefusalReason reason) {
    long cost = FairQueue.cost(prompt);
    share(service).onAsked(organisation, cost, clock.millis());
    statistics.onAsked(service, organisation, cost);
    statistics.onRefused(service, organisation, reason, cost);
  }

  /**
   * Forgets a job whose caller has gone.
   *
   * @param job the job
   */
  public void cancel(Job job) {
    queue(job.service()).remove(job);
  }

  /**
   * Sends the waiting jobs for which a target has room.
   *
   * @param service the name of the service
   */
  public void dispatchWaiting(String service) {
    FairQueue queue = queue(service);
    if (queue.size() == 0 || !pumping.add(service)) {
      // A send that fails at once comes back here; the call that made it goes on with the queue.
      return;
    }
    try {
      long now = clock.millis();
      OpenTargets open = new OpenTargets(targets(service), room, now);
      queue.offer(share(service), now, job -> trySend(job, queue, open), () -> !open.isEmpty());
    } finally {
      pumping.remove(service);
    }
  }

  /**
   * Sends a waiting job when a target is a choice for it.
   *
   * @param job the job
   * @param queue the queue of its service
   * @param open the targets with room
   * @return whether it was sent
   */
  private boolean trySend(Job job, FairQueue queue, OpenTargets open) {
    Optional<Placement.Choice> choice = choose(job, open);
    if (choice.isEmpty() || !queue.remove(job)) {
      return false;
    }
    send(job, choice.get());
    open.refresh(choice.get().load());
    return true;
  }

  /** Sends what can be sent and refuses the jobs that can no longer be on time. */
  public void tick() {
    for (Map.Entry<String, FairQueue> entry : queues.entrySet()) {
      FairQueue queue = entry.getValue();
      if (queue.size() > 0) {
        dispatchWaiting(entry.getKey());
        expire(entry.getKey(), queue);
      }
      queue.prune(clock.millis());
    }
    shares.values().forEach(share -> share.prune(clock.millis()));
  }

  /**
   * Refuses jobs that can no longer be on time.
   *
   * @param service the name of the service
   * @param queue the queue of the service
   */
  private void expire(String service, FairQueue queue) {
    RefusalReason reason =
        targets(service).isEmpty() ? RefusalReason.NO_TARGET : RefusalReason.EXPIRED;
    for (Job job : queue.removeIf(admission.late(targets(service)))) {
      refuse(job, queue, reason);
    }
  }

  /**
   * Refuses a job.
   *
   * @param job the job
   * @param queue the queue of its service
   * @param reason why it is refused
   */
  private void refuse(Job job, FairQueue queue, RefusalReason reason) {
    statistics.onRefused(job.service(), job.organisation(), reason, FairQueue.cost(job));
    job.refuse(reason, retryAfterMillis(queue));
  }

  /**
   * Chooses a target with room for a job. While the job is patient, a target that would have to
   * read shared parts again is no choice (delay scheduling).
   *
   * @param job the job
   * @param open the targets with room
   * @return the target, or empty when the job has to wait
   */
  private Optional<Placement.Choice> choose(Job job, OpenTargets open) {
    long now = clock.millis();
    Standing standing = share(job.service()).standing(job.organisation(), now);
    Collection<TargetLoad> free =
        job.isRetry() ? open.all() : open.forStanding(job.prompt(), standing);
    if (free.isEmpty() && standing == Standing.OVERSERVED && !open.isEmpty()) {
      statistics.onHeldBack(job.service());
    }
    Optional<Placement.Choice> choice =
        placement.choose(free, job.prompt(), job.triedTargets(), now);
    if (choice.isEmpty() || !isPatient(job, standing, now)) {
      return choice;
    }
    int again =
        choice.get().load().uncachedTokens(job.prompt())
            - placement.leastUncachedTokens(open.all(), job.prompt(), job.triedTargets(), now);
    return again > limits.againTokens() ? Optional.empty() : choice;
  }

  /**
   * Returns whether a job waits for a target that keeps its shared parts. An underserved
   * organisation does not: one with many jobs has one for each target and would be served more
   * often.
   *
   * @param job the job
   * @param standing the standing of its organisation
   * @param now the current time in milliseconds
   * @return true when it waits
   */
  private static boolean isPatient(Job job, Standing standing, long now) {
    return !job.isRetry() && now < job.localityWaitUntil() && standing != Standing.UNDERSERVED;
  }

  /**
   * Sends a job.
   *
   * @param job the job
   * @param choice the target
   */
  private void send(Job job, Placement.Choice choice) {
    long now = clock.millis();
    long cost = FairQueue.cost(job);
    share(job.service()).onGiven(job.organisation(), cost, now);
    queue(job.service()).charge(job, now);
    statistics.onSent(job.service(), job.organisation(), cost);
    job.send(choice.load(), choice.expectedDelayMillis());
  }

  /**
   * Returns the time after which a refused caller may come back.
   *
   * @param queue the queue of the service
   * @return the time in milliseconds
   */
  private long retryAfterMillis(FairQueue queue) {
    int steps = Math.min(queue.size(), limits.maxWaiting());
    return limits.retryAfterMillis() + limits.retryAfterMillis() * steps / limits.maxWaiting();
  }

  /**
   * Returns the queue of a service.
   *
   * @param service the name of the service
   * @return the queue
   */
  private FairQueue queue(String service) {
    return queues.computeIfAbsent(service, name -> new FairQueue());
  }

  /**
   * Returns the shares of the organisations of a service.
   *
   * @param service the name of the service
   * @return the shares
   */
  private FairShare share(String service) {
    return shares.computeIfAbsent(service, name -> new FairShare());
  }
}
