package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.directory.Route;

/**
 * Limits of the load of an engine by service, derived from what the routes of the service need.
 *
 * <p>The default limits suit an objective of 500 ms to the first event and a pause of 500 ms
 * between events. With longer ones they leave engines idle between batches of prompts, and slots
 * unused while requests are refused. Limits are never tighter than the default ones. They are
 * derived only for services whose streaming routes all state the longest pause.
 */
public final class EngineLimits {

  /** Longest pause between events that suits the default limits, in milliseconds. */
  private static final double DEFAULT_PAUSE_MILLIS = 500;

  /**
   * Fraction of the shortest objective that pending prefill may take. A prompt may take as much
   * again (see {@link Job#dueAt()}), and 0.25 of the objective is left until a job is due for the
   * round trip and for prompts that other routers sent within the interval of reports.
   */
  private static final double PREFILL_FRACTION = 0.3;

  /**
   * Largest derived pending prefill in milliseconds. An engine is busy during round trips and
   * report intervals with far less, and jobs at a target can no longer be reordered.
   */
  private static final double MAX_PENDING_PREFILL_MILLIS = 600;

  private final Limit defaultLimit;

  private final Map<String, Limit> byService;

  /**
   * Limits of the engines of one service.
   *
   * @param pendingPrefillMillis the pending prefill in milliseconds from which on an engine accepts
   *     no further job
   * @param slotFraction the fraction of its slots that jobs may occupy
   */
  public record Limit(double pendingPrefillMillis, double slotFraction) {}

  /**
   * Creates limits.
   *
   * @param defaultLimit the limit of services that are not contained
   * @param byService the limits by service
   */
  private EngineLimits(Limit defaultLimit, Map<String, Limit> byService) {
    this.defaultLimit = defaultLimit;
    this.byService = Map.copyOf(byService);
  }

  /**
   * Returns the default limits for all services.
   *
   * @param limits the configured limits
   * @return the limits
   */
  static EngineLimits of(DispatchLimits limits) {
    return new EngineLimits(
        new Limit(limits.maxPendingPrefillMillis(), limits.maxEngineSlotFraction()), Map.of());
  }

  /**
   * Derives limits from routes.
   *
   * @param limits the configured limits, which are the least ones
   * @param routes all routes
   * @return the limits
   */
  static EngineLimits of(DispatchLimits limits, Collection<Route> routes) {
    EngineLimits defaults = of(limits);
    Map<String, List<Route>> routesByService = new HashMap<>();
    for (Route route : routes) {
      for (Route.Share share : route.shares()) {
        routesByService.computeIfAbsent(share.service(), name -> new ArrayList<>()).add(route);
      }
    }
    Map<String, Limit> byService = new HashMap<>();
    routesByService.forEach(
        (service, all) -> {
          if (all.stream().anyMatch(route -> route.kind().streaming())) {
            byService.put(service, derive(defaults.defaultLimit, all));
          }
        });
    return new EngineLimits(defaults.defaultLimit, byService);
  }

  /**
   * Returns the limit of a service.
   *
   * @param service the name of the service
   * @return the limit
   */
  Limit of(String service) {
    return byService.getOrDefault(service, defaultLimit);
  }

  /**
   * Returns the limits by service.
   *
   * @return the limits of services with streaming routes
   */
  public Map<String, Limit> byService() {
    return byService;
  }

  private static Limit derive(Limit least, List<Route> routes) {
    List<Route> streaming = routes.stream().filter(route -> route.kind().streaming()).toList();
    double pauseMillis = streaming.stream().mapToDouble(Route::maxEventPauseMillis).min().orElse(0);
    if (pauseMillis <= 0) {
      return least;
    }
    // Requests without events wait behind the same prompts, so their objectives count as well.
    double objectiveMillis =
        routes.stream().mapToDouble(Route::objectiveMillis).min().orElseThrow();
    double pendingMillis = Math.min(MAX_PENDING_PREFILL_MILLIS, PREFILL_FRACTION * objectiveMillis);
    double slotFraction =
        Math.min(1, least.slotFraction() * Math.max(1, pauseMillis / DEFAULT_PAUSE_MILLIS));
    return new Limit(Math.max(least.pendingPrefillMillis(), pendingMillis), slotFraction);
  }
}
