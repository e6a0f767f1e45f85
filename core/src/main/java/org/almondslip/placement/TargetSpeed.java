package org.almondslip.placement;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Expected duration of work at one target: its long-term speed, see {@link SpeedEstimate}, and the
 * current duration that it states in its responses, see {@link PresentWork}.
 */
public final class TargetSpeed {

  /** Smallest plausible speed relative to the mean of the service, in thousandths. */
  static final int MIN_PERMILLE = 250;

  /** Largest plausible speed relative to the mean of the service, in thousandths. */
  static final int MAX_PERMILLE = 4_000;

  /** Number of samples from which on this router reports its estimate. */
  static final int MIN_SAMPLES = 4;

  /** Largest plausible number of waiting requests. */
  static final int MAX_WAITING = 10_000;

  /** Largest plausible number of samples in a report. */
  static final int MAX_REPORTED_SAMPLES = 1_000_000;

  /** Largest plausible age of a figure in a report, in milliseconds. */
  static final int MAX_AGE_MILLIS = 60_000;

  /** Maximum number of tokens of a prompt that count, above the longest prompts of any route. */
  private static final int MAX_PEER_TOKENS = 100_000;

  private static final double PERMILLE = 1_000;

  private final boolean engine;

  private final PrefillSamples prefills = new PrefillSamples();

  private final RequestSamples requests = new RequestSamples();

  private final SpeedEstimate estimate;

  /** Latest figure that the target stated to this router. */
  private final PresentWork ownWork = new PresentWork();

  /** Latest figure that the target stated to any router. */
  private final PresentWork work = new PresentWork();

  private final StatedRequests statedRequests = new StatedRequests();

  private final PendingHistory peerPending = new PendingHistory();

  private ServiceSpeed service = new ServiceSpeed();

  /**
   * Creates the speed of a target that is not compared with others yet.
   *
   * @param engine whether the target is an inference engine
   */
  TargetSpeed(boolean engine) {
    this.engine = engine;
    this.estimate = new SpeedEstimate(engine ? prefills : requests);
    service.add(this);
  }

  /**
   * Compares the target with the other targets of its service from now on.
   *
   * @param speeds the speeds of the service
   */
  public void join(ServiceSpeed speeds) {
    service.remove(this);
    service = speeds;
    service.add(this);
  }

  /** Ends the comparison with other targets, for a target that was removed. */
  public void leave() {
    service.remove(this);
  }

  /**
   * Returns the speeds of the service.
   *
   * @return the speeds of all targets of the service
   */
  public ServiceSpeed service() {
    return service;
  }

  boolean isEngine() {
    return engine;
  }

  SpeedEstimate estimate() {
    return estimate;
  }

  /**
   * Returns whether the estimates are used.
   *
   * @param now the current time in milliseconds
   * @return true if targets of the service state the duration of their work
   */
  public boolean isInForce(long now) {
    return service.isInForce(now);
  }

  /**
   * Records the load that the target stated in a response. It is ignored without the duration of
   * work, or if it is not plausible.
   *
   * @param status the load, empty if it is missing or malformed
   * @param now the current time in milliseconds
   * @return false if the load was ignored although the target states it otherwise
   */
  public boolean onStatus(Optional<TargetStatus> status, long now) {
    OptionalInt percent = status.map(TargetStatus::workPercent).orElse(OptionalInt.empty());
    if (percent.isEmpty() && !ownWork.isKnown()) {
      return true;
    }
    if (percent.isEmpty()
        || !PresentWork.isPlausible(percent.getAsInt())
        || !hasPlausibleRequests(status.get())) {
      service.onIgnoredFigure();
      return false;
    }
    service.onFigure(now);
    ownWork.update(percent.getAsInt(), now);
    work.update(percent.getAsInt(), now);
    statedRequests.onStatus(status.get().running() + status.get().waiting(), now);
    return true;
  }

  private static boolean hasPlausibleRequests(TargetStatus status) {
    return status.running() >= 0
        && status.running() <= status.slots()
        && status.waiting() >= 0
        && status.waiting() <= MAX_WAITING;
  }

  /**
   * Records the estimates of another router. Each is ignored if it is not plausible.
   *
   * @param router the name of the router
   * @param permille its long-term estimate of the speed, 0 without one
   * @param samples the number of responses that it measured
   * @param workPercent the duration of work that the target stated, 0 without one
   * @param workAgeMillis the age of that figure in milliseconds
   * @param now the current time in milliseconds
   */
  public void onPeerReport(
      String router, int permille, int samples, int workPercent, int workAgeMillis, long now) {
    if (permille >= MIN_PERMILLE
        && permille <= MAX_PERMILLE
        && samples >= 1
        && samples <= MAX_REPORTED_SAMPLES) {
      estimate.onPeerEstimate(router, PERMILLE / permille, samples, now);
    } else if (permille != 0 || samples != 0) {
      service.onIgnoredFigure();
    }
    if (PresentWork.isPlausible(workPercent)
        && workAgeMillis >= 0
        && workAgeMillis <= MAX_AGE_MILLIS) {
      service.onFigure(now);
      work.update(workPercent, now - workAgeMillis);
    } else if (workPercent != 0 || workAgeMillis != 0) {
      service.onIgnoredFigure();
    }
  }

  /**
   * Records that another router sent a prompt to the target.
   *
   * @param uncachedTokens the tokens that the target has to prefill
   */
  public void onPeerSent(int uncachedTokens) {
    service.onPeerSent(Math.min(uncachedTokens, MAX_PEER_TOKENS));
  }

  /** Records that this router sent a request to the target. */
  void onSent() {
    statedRequests.onChange(1);
  }

  /** Records that a request of this router has ended. */
  void onEnded() {
    statedRequests.onChange(-1);
  }

  /** Returns the requests at the target, corrected by what it stated itself. */
  int requests(int reported, long now) {
    return isInForce(now) ? statedRequests.correct(reported, now) : reported;
  }

  /** Records the prompt tokens of other routers that the target has not prefilled. */
  void onPeerPending(long tokens, long now) {
    if (isInForce(now)) {
      peerPending.add(tokens, now);
    }
  }

  /** Returns the prompt tokens of other routers that were pending, as known at a time. */
  long peerPendingTokensAt(long time) {
    return peerPending.tokensAt(time);
  }

  /**
   * Records the time to the first event of a request with a prompt.
   *
   * @param dataCentre the data centre of the target
   * @param ownMillis the prefill time that the model expects of the request itself
   * @param prefillMillis the same including the requests before it
   * @param millis the measured time, converted to the usual duration of work, in milliseconds
   * @param now the current time in milliseconds
   */
  void onFirstEvent(
      String dataCentre, double ownMillis, double prefillMillis, double millis, long now) {
    if (!isInForce(now)) {
      return;
    }
    if (prefillMillis < NetworkDistance.SMALL_MILLIS) {
      service.distance().add(dataCentre, millis, now);
    }
    PrefillModel model = service.prefill();
    double local = Math.max(1, millis - service.distance().millis(dataCentre));
    model.add(ownMillis, prefillMillis, local / estimate.duration());
    prefills.add(prefillMillis * model.duration(), local, model.constantMillis(), now);
  }

  /**
   * Records the duration of a request without a prompt.
   *
   * @param dataCentre the data centre of the target
   * @param millis the duration, converted to the usual duration of work, in milliseconds
   * @param now the current time in milliseconds
   */
  void onRequest(String dataCentre, double millis, long now) {
    if (isInForce(now)) {
      service.distance().add(dataCentre, millis, now);
      requests.add(Math.max(1, millis - service.distance().millis(dataCentre)), now);
    }
  }

  /**
   * Returns the expected duration of prefill relative to the performance model.
   *
   * @param now the current time in milliseconds
   * @return the factor
   */
  double prefillFactor(long now) {
    service.merge(now);
    double usual = SpeedEstimate.bound(service.prefill().duration() * estimate.duration());
    return usual * work.factor(now);
  }

  /**
   * Returns the expected duration of a request at a service without prompts.
   *
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 if it is unknown
   */
  double requestMillis(long now) {
    service.merge(now);
    return service.requestMillis() * estimate.duration() * work.factor(now);
  }

  /** Returns the current duration of work relative to the usual one. */
  double workFactor(long now) {
    return work.factor(now);
  }

  /** Returns the expected current speed, the weight in a random choice. */
  double currentSpeed(long now) {
    service.merge(now);
    return 1 / (estimate.duration() * work.factor(now));
  }

  /**
   * Returns the merged long-term speed relative to the mean of the service.
   *
   * @return the speed in thousandths
   */
  public int speedPermille() {
    return (int) Math.round(PERMILLE / estimate.duration());
  }

  /**
   * Returns the current duration of work.
   *
   * @param now the current time in milliseconds
   * @return the duration in percent of the usual one, which the last figure approaches with its age
   */
  public int workPercent(long now) {
    return (int) Math.round(work.factor(now) * PresentWork.USUAL_PERCENT);
  }

  /**
   * Returns the long-term speed as measured by this router alone, for reports.
   *
   * @param now the current time in milliseconds
   * @return the speed in thousandths, empty while it is not known or not used
   */
  public OptionalInt reportedPermille(long now) {
    if (!isInForce(now) || estimate.samples().count() < MIN_SAMPLES) {
      return OptionalInt.empty();
    }
    service.merge(now);
    return OptionalInt.of((int) Math.round(PERMILLE / estimate.ownDuration()));
  }

  /**
   * Returns the number of responses that this router measured, for reports.
   *
   * @return the number, less those that are too old
   */
  public int reportedSamples() {
    return (int) Math.round(estimate.samples().count());
  }

  /**
   * Returns the duration of work that the target stated to this router, for reports.
   *
   * @param now the current time in milliseconds
   * @return the percent, empty without a fresh figure
   */
  public OptionalInt reportedWorkPercent(long now) {
    return ownWork.isFresh(now) ? OptionalInt.of(ownWork.percent()) : OptionalInt.empty();
  }

  /**
   * Returns the time at which the target stated the duration of its work to this router.
   *
   * @return the time in milliseconds, 0 without a figure
   */
  public long workStatedAt() {
    return ownWork.statedAt();
  }
}
