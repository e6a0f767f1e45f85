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

/** What all requests of a router share. */
final class GatewayParts {

  /** Source of time. */
  private final Clock clock;

  /** Settings of the router. */
  private final GatewaySettings settings;

  /** Names of headers. */
  private final HeaderCodec codec;

  /** Choice of targets. */
  private final Placement placement;

  /** Order of waiting requests. */
  private final Dispatcher dispatcher;

  /** Connections to targets. */
  private final TargetConnections connections;

  /** Log of decisions. */
  private final DecisionLog decisions;

  /** Other routers. */
  private final PeerReporter peers;

  /** Requests that crash targets. */
  private final CrashQuarantine crashes;

  /** Retry budgets by service. */
  private final Map<String, RetryLimiter> budgets = new HashMap<>();

  /**
   * Creates the parts.
   *
   * @param clock the source of time
   * @param settings the settings of the router
   * @param codec the names of headers
   * @param placement the choice of targets
   * @param dispatcher the order of waiting requests
   * @param connections the connections to targets
   * @param decisions the log of decisions
   * @param peers the other routers
   * @param crashes the requests that crash targets
   */
  GatewayParts(
      Clock clock,
      GatewaySettings settings,
      HeaderCodec codec,
      Placement placement,
      Dispatcher dispatcher,
      TargetConnections connections,
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

  /**
   * Returns the source of time.
   *
   * @return the clock
   */
  Clock clock() {
    return clock;
  }

  /**
   * Returns the names of headers.
   *
   * @return the codec
   */
  HeaderCodec codec() {
    return codec;
  }

  /**
   * Returns the order of waiting requests.
   *
   * @return the dispatcher
   */
  Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Returns the connections to targets.
   *
   * @return the pool
   */
  TargetConnections connections() {
    return connections;
  }

  /**
   * Returns the log of decisions.
   *
   * @return the log
   */
  DecisionLog decisions() {
    return decisions;
  }

  /**
   * Returns the other routers.
   *
   * @return the reports
   */
  PeerReporter peers() {
    return peers;
  }

  /**
   * Returns the requests that crash targets.
   *
   * @return the window
   */
  CrashQuarantine crashes() {
    return crashes;
  }

  /**
   * Returns the limits of the queues.
   *
   * @return the limits
   */
  DispatchLimits limits() {
    return DispatchLimits.DEFAULT;
  }

  /**
   * Returns the retry budget of a service.
   *
   * @param service the name of the service
   * @return the budget
   */
  RetryLimiter budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryLimiter(
                settings.retryWindowMillis(), settings.retryRatio(), settings.retryAllowance()));
  }

  /**
   * Returns the expected time until a target has read a prompt.
   *
   * @param target the target
   * @param prompt the prompt
   * @return the time in milliseconds, at least 1
   */
  double expectedMillis(TargetLoad target, Prompt prompt) {
    return Math.max(1, placement.expectedDelayMillis(target, prompt, clock.millis()));
  }
}
