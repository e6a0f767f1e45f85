package org.almondslip.gateway;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.HashMap;
import java.util.Map;
import org.almondslip.settings.Section;

/**
 * Settings of a router that calls targets itself.
 *
 * @param instance the name of the instance
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param listen the address of the API for callers
 * @param readyListen the address of the readiness endpoint that the balancer checks
 * @param operationsListen the address of the health and metrics endpoints
 * @param peerListen the UDP address for reports of other routers
 * @param platform the address of the platform's store
 * @param retryWindowMillis the window of the retry budget in milliseconds
 * @param retryRatio the maximum ratio of retries to requests, from 0 to 1
 * @param fleetRetryAllowance the number of retries per window that the fleet may make beyond the
 *     ratio
 * @param revocationMillis the time within which a revoked API key must stop working, in
 *     milliseconds
 * @param drainMillis the time limit of a planned stop in milliseconds
 * @param maxEventLoopDelayMillis the delay of the event loop above which new requests are refused,
 *     in milliseconds
 * @param maxDescriptors the maximum number of file descriptors of the process
 * @param dataCentres the region by data centre
 * @param coldRequestFactor the factor on the tolerated request rate of a cold target that the fleet
 *     must not exceed
 * @param coldRequestAllowance the requests in a second that a cold target may get beyond that rate
 * @param boundsTargetMemory whether requests are sent only to engines that have memory for them
 * @param reconnectMillis the time after which a router that was cut off from the store must follow
 *     it again, in milliseconds
 * @param measuresTargetSpeed whether requests are placed by the measured speed of targets that
 *     state the duration of their work
 */
public record GatewaySettings(
    String instance,
    String region,
    String dataCentre,
    String listen,
    String readyListen,
    String operationsListen,
    String peerListen,
    String platform,
    long retryWindowMillis,
    double retryRatio,
    double fleetRetryAllowance,
    long revocationMillis,
    long drainMillis,
    long maxEventLoopDelayMillis,
    int maxDescriptors,
    Map<String, String> dataCentres,
    double coldRequestFactor,
    double coldRequestAllowance,
    boolean boundsTargetMemory,
    long reconnectMillis,
    boolean measuresTargetSpeed) {

  /** Upper bound of settings in milliseconds: one hour. */
  private static final long MAX_MILLIS = 3_600_000;

  /** Upper bound of the fleet's allowance, in retries per window. */
  private static final double MAX_FLEET_ALLOWANCE = 100_000;

  /** Upper bound of settings in seconds: one hour. */
  private static final double MAX_SECONDS = 3_600;

  private static final double DEFAULT_RETRY_WINDOW_SECONDS = 10;

  private static final double DEFAULT_RETRY_RATIO = 0.2;

  private static final long DEFAULT_REVOCATION_MILLIS = 5_000;

  private static final double DEFAULT_DRAIN_SECONDS = 8;

  private static final long DEFAULT_RECONNECT_MILLIS = 3_000;

  /**
   * Default limit of the event loop delay in milliseconds. It is half of the shortest latency
   * objectives in use: a router with a longer delay cannot serve further requests in time, while
   * others can.
   */
  private static final long DEFAULT_MAX_EVENT_LOOP_DELAY_MILLIS = 250;

  /** Lower bound of the descriptor limit; the process itself needs about half of it. */
  private static final int MIN_DESCRIPTORS = 256;

  /** Upper bound of the factor on the request rate of a cold target. */
  private static final double MAX_COLD_FACTOR = 100;

  /** Upper bound of the requests beyond that rate. */
  private static final double MAX_COLD_ALLOWANCE = 100_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Reads the settings.
   *
   * @param section the top-level section of the settings file
   * @param boundsTargetMemory the value of {@code limits.target_memory} if it is missing
   * @return the settings, valid only when the section has no findings
   */
  public static GatewaySettings of(Section section, boolean boundsTargetMemory) {
    Section retries = section.section("retries");
    Section limits = section.section("limits");
    Section cold = section.section("cold_targets");
    return new GatewaySettings(
        section.text("instance"),
        section.text("region"),
        section.text("data_centre"),
        section.address("listen"),
        section.address("ready_listen"),
        section.address("operations_listen"),
        section.address("peer_listen"),
        section.address("platform"),
        millis(retries.decimal("window_seconds", DEFAULT_RETRY_WINDOW_SECONDS, 0, MAX_SECONDS)),
        retries.decimal("ratio", DEFAULT_RETRY_RATIO, 0, 1),
        retries.decimal("fleet_allowance", 0, 0, MAX_FLEET_ALLOWANCE),
        limits.integer("revocation_millis", DEFAULT_REVOCATION_MILLIS, 1, MAX_MILLIS),
        millis(limits.decimal("drain_seconds", DEFAULT_DRAIN_SECONDS, 0, MAX_SECONDS)),
        limits.integer(
            "max_event_loop_delay_millis", DEFAULT_MAX_EVENT_LOOP_DELAY_MILLIS, 1, MAX_MILLIS),
        (int)
            limits.integer(
                "max_descriptors", systemDescriptors(), MIN_DESCRIPTORS, Integer.MAX_VALUE),
        regions(section.section("data_centres")),
        cold.decimal("request_factor", 1, 0, MAX_COLD_FACTOR),
        cold.decimal("request_allowance", 0, 0, MAX_COLD_ALLOWANCE),
        limits.flag("target_memory", boundsTargetMemory),
        limits.integer("reconnect_millis", DEFAULT_RECONNECT_MILLIS, 1, MAX_MILLIS),
        section.section("placement").flag("target_speed", false));
  }

  /** Returns the descriptor limit that the operating system sets for this process. */
  private static long systemDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        ? Math.min(system.getMaxFileDescriptorCount(), Integer.MAX_VALUE)
        : Integer.MAX_VALUE;
  }

  /** Returns the region by data centre. */
  private static Map<String, String> regions(Section section) {
    Map<String, String> regions = new HashMap<>();
    for (String dataCentre : section.keys()) {
      regions.put(dataCentre, section.text(dataCentre));
    }
    return Map.copyOf(regions);
  }

  private static long millis(double seconds) {
    return (long) (seconds * MILLIS_PER_SECOND);
  }
}
