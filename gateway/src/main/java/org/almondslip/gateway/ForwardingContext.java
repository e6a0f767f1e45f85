package org.almondslip.gateway;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.budget.FleetAllowance;
import org.almondslip.budget.RetryLimiter;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.SpeedMeasurement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.time.Clock;

/** Components of a router that all forwarded requests share. */
final class ForwardingContext {

  private final Clock clock;

  private final GatewaySettings settings;

  private final HeaderCodec codec;

  private final Placement placement;

  private final Dispatcher dispatcher;

  private final TargetConnectionPool connections;

  private final TargetProbe targetProbe;

  private final DecisionLog decisionLog;

  private final PeerReporter peerReporter;

  private final CrashQuarantine crashQuarantine;

  private final SegmentQuarantine segmentQuarantine;

  private final BodyMemory bodyMemory;

  private final ResponseMemory responseMemory;

  private final FleetAllowance retryAllowance;

  private final TargetNotices targetNotices;

  /** Retry limiters by service. */
  private final Map<String, RetryLimiter> retryLimiters = new HashMap<>();

  /**
   * Creates a context.
   *
   * @param clock the source of time
   * @param settings the settings of the router
   * @param codec reads and writes headers
   * @param placement chooses targets
   * @param dispatcher queues and dispatches requests
   * @param connections the connections to targets
   * @param targetProbe tells targets that have ended from others
   * @param decisionLog logs decisions about requests
   * @param peerReporter reports to other routers
   * @param crashQuarantine the quarantine of requests that crash targets
   * @param segmentQuarantine the quarantine of prompt segments that crash targets
   * @param bodyMemory the memory of the bodies of requests and responses
   * @param responseMemory the part of that memory that slow callers use
   * @param retryAllowance the retries of the fleet beyond the ratio
   */
  ForwardingContext(
      Clock clock,
      GatewaySettings settings,
      HeaderCodec codec,
      Placement placement,
      Dispatcher dispatcher,
      TargetConnectionPool connections,
      TargetProbe targetProbe,
      DecisionLog decisionLog,
      PeerReporter peerReporter,
      CrashQuarantine crashQuarantine,
      SegmentQuarantine segmentQuarantine,
      BodyMemory bodyMemory,
      ResponseMemory responseMemory,
      FleetAllowance retryAllowance) {
    this.clock = clock;
    this.settings = settings;
    this.codec = codec;
    this.placement = placement;
    this.dispatcher = dispatcher;
    this.connections = connections;
    this.targetProbe = targetProbe;
    this.decisionLog = decisionLog;
    this.peerReporter = peerReporter;
    this.crashQuarantine = crashQuarantine;
    this.segmentQuarantine = segmentQuarantine;
    this.bodyMemory = bodyMemory;
    this.responseMemory = responseMemory;
    this.retryAllowance = retryAllowance;
    this.targetNotices = new TargetNotices(this);
  }

  Clock clock() {
    return clock;
  }

  HeaderCodec codec() {
    return codec;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  TargetConnectionPool connections() {
    return connections;
  }

  TargetProbe targetProbe() {
    return targetProbe;
  }

  DecisionLog decisionLog() {
    return decisionLog;
  }

  PeerReporter peerReporter() {
    return peerReporter;
  }

  CrashQuarantine crashQuarantine() {
    return crashQuarantine;
  }

  SegmentQuarantine segmentQuarantine() {
    return segmentQuarantine;
  }

  TargetNotices targetNotices() {
    return targetNotices;
  }

  BodyMemory bodyMemory() {
    return bodyMemory;
  }

  ResponseMemory responseMemory() {
    return responseMemory;
  }

  /** Returns whether the stated load of targets is used to estimate their speed. */
  boolean measuresTargetSpeed() {
    return settings.measuresTargetSpeed();
  }

  /** Returns the limits of the request queues. */
  DispatchLimits dispatchLimits() {
    return DispatchLimits.DEFAULT;
  }

  /** Returns the retry limiter of a service, and creates it on the first call. */
  RetryLimiter retryLimiter(String service) {
    return retryLimiters.computeIfAbsent(
        service,
        name ->
            new RetryLimiter(
                settings.retryWindowMillis(), settings.retryRatio(), retryAllowance::perRouter));
  }

  /**
   * Returns the expected time until a target completes the prefill of a prompt.
   *
   * @param target the target
   * @param prompt the prompt
   * @return the time in milliseconds, at least 1
   */
  double expectedMillis(TargetLoad target, Prompt prompt) {
    long now = clock.millis();
    // The request is sent now; the pause is the time until the next permit of a cold target.
    return Math.max(
        1, placement.expectedDelayMillis(target, prompt, now) - target.remainingPauseMillis(now));
  }

  /**
   * Starts to measure the response time of a request that is not sent yet.
   *
   * @param target the target
   * @param prompt the prompt
   * @return the measurement
   */
  SpeedMeasurement measure(TargetLoad target, Prompt prompt) {
    return placement.measure(target, prompt, clock.millis());
  }
}
