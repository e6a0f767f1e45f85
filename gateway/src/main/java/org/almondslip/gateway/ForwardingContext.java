package org.almondslip.gateway;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.budget.RetryLimiter;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.time.Clock;

/** Components of a router that all forwarded requests share. */
final class ForwardingContext {

  private final Clock clock;

  private final GatewaySettings settings;

  private final HeaderCodec codec;

  private final Placement placement;

  private final Dispatcher dispatcher;

  private final TargetConnectionPool connections;

  private final DecisionLog decisions;

  private final PeerReporter peers;

  private final CrashQuarantine crashes;

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
   * @param decisions logs decisions about requests
   * @param peers reports to other routers
   * @param crashes the quarantine of requests that crash targets
   */
  ForwardingContext(
      Clock clock,
      GatewaySettings settings,
      HeaderCodec codec,
      Placement placement,
      Dispatcher dispatcher,
      TargetConnectionPool connections,
      DecisionLog decisions,
      PeerReporter peers,
      CrashQuarantine crashes) {
    this.clock = clock;
    this.settings = settings;
    this.codec = codec;
    this.placement = placement;
    this.dispatcher = dispatcher;
    this.connections = connections;
    this.decisions = decisions;
    this.peers = peers;
    this.crashes = crashes;
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

  DecisionLog decisions() {
    return decisions;
  }

  PeerReporter peers() {
    return peers;
  }

  CrashQuarantine crashes() {
    return crashes;
  }

  /** Returns the limits of the request queues. */
  DispatchLimits limits() {
    return DispatchLimits.DEFAULT;
  }

  /** Returns the retry limiter of a service, and creates it on the first call. */
  RetryLimiter retryLimiter(String service) {
    return retryLimiters.computeIfAbsent(
        service,
        name ->
            new RetryLimiter(
                settings.retryWindowMillis(), settings.retryRatio(), settings.retryAllowance()));
  }

  /**
   * Returns the expected time until a target completes the prefill of a prompt.
   *
   * @param target the target
   * @param prompt the prompt
   * @return the time in milliseconds, at least 1
   */
  double expectedMillis(TargetLoad target, Prompt prompt) {
    return Math.max(1, placement.expectedDelayMillis(target, prompt, clock.millis()));
  }
}
