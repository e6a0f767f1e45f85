package org.almondslip.gateway;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.almondslip.settings.Section;

/**
 * Settings of a router that calls targets itself.
 *
 * @param instance the name of the instance
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param listen the address for callers
 * @param readyListen the address of the balancer's checks
 * @param operationsListen the address for health and metrics
 * @param peerListen the address for datagrams of other routers
 * @param platform the address of the platform's store
 * @param retryWindowMillis the window of the retry budget in milliseconds
 * @param retryRatio the repeats for each request that the fleet may make
 * @param retryAllowance the repeats beside the ratio that this router may make in a window
 * @param revocationMillis the time within which a removed key must stop working, in milliseconds
 * @param drainMillis the longest time of a planned stop in milliseconds
 * @param maxEventLoopDelayMillis the delay of the event loop above which new requests are refused,
 *     in milliseconds
 * @param maxDescriptors the largest number of files and sockets that the process may open
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
    double retryAllowance,
    long revocationMillis,
    long drainMillis,
    long maxEventLoopDelayMillis,
    int maxDescriptors) {

  /** Longest time limit that is accepted, in milliseconds: one hour. */
  private static final long MAX_MILLIS = 3_600_000;

  /** Largest allowance that is accepted, in repeats. */
  private static final double MAX_ALLOWANCE = 100_000;

  /** Largest time that is accepted, in seconds: one hour. */
  private static final double MAX_SECONDS = 3_600;

  /** Default window of the retry budget in seconds. */
  private static final double RETRY_WINDOW_SECONDS = 10;

  /** Default repeats for each request. */
  private static final double RETRY_RATIO = 0.2;

  /** Default time within which a removed key must stop working, in milliseconds. */
  private static final long REVOCATION_MILLIS = 5_000;

  /** Default time limit of a planned stop, in seconds. */
  private static final double DRAIN_SECONDS = 8;

  /**
   * Default delay of the event loop above which new requests are refused, in milliseconds. It is
   * half of the shortest objectives in use: a router that far behind cannot serve more, others can.
   */
  private static final long MAX_DELAY_MILLIS = 250;

  /** Routers among which the allowance of the fleet is divided, spare ones included. */
  private static final double ROUTERS = 40;

  /** Smallest number of descriptors that is accepted; the process itself needs about half of it. */
  private static final int MIN_DESCRIPTORS = 256;

  /** Milliseconds in a second. */
  private static final double SECOND = 1_000;

  /**
   * Reads the settings.
   *
   * @param section the top level of the file
   * @return the settings, complete only when there is no finding
   */
  public static GatewaySettings of(Section section) {
    Section retries = section.section("retries");
    Section limits = section.section("limits");
    return new GatewaySettings(
        section.text("instance"),
        section.text("region"),
        section.text("data_centre"),
        section.address("listen"),
        section.address("ready_listen"),
        section.address("operations_listen"),
        section.address("peer_listen"),
        section.address("platform"),
        millis(retries.decimal("window_seconds", RETRY_WINDOW_SECONDS, 0, MAX_SECONDS)),
        retries.decimal("ratio", RETRY_RATIO, 0, 1),
        retries.decimal("fleet_allowance", 0, 0, MAX_ALLOWANCE) / ROUTERS,
        limits.integer("revocation_millis", REVOCATION_MILLIS, 1, MAX_MILLIS),
        millis(limits.decimal("drain_seconds", DRAIN_SECONDS, 0, MAX_SECONDS)),
        limits.integer("max_event_loop_delay_millis", MAX_DELAY_MILLIS, 1, MAX_MILLIS),
        (int)
            limits.integer(
                "max_descriptors", systemDescriptors(), MIN_DESCRIPTORS, Integer.MAX_VALUE));
  }

  /**
   * Returns the number of descriptors that the operating system lets this process open.
   *
   * @return the number
   */
  private static long systemDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        ? Math.min(system.getMaxFileDescriptorCount(), Integer.MAX_VALUE)
        : Integer.MAX_VALUE;
  }

  /**
   * Converts seconds.
   *
   * @param seconds the time in seconds
   * @return the time in milliseconds
   */
  private static long millis(double seconds) {
    return (long) (seconds * SECOND);
  }
}
