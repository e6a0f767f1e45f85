package org.almondslip.agent;

import java.util.Locale;
import java.util.Optional;
import org.almondslip.accounting.DigestSettings;
import org.almondslip.execution.AgentLimits;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.scheduling.Policy;
import org.almondslip.settings.Section;

/**
 * Settings of an agent.
 *
 * @param instance the name of the instance
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param innerListen the address for inner connections
 * @param operationsListen the address for health and metrics
 * @param secret the secret that all processes of the fleet share
 * @param target the target beside the agent
 * @param platform the addresses of the platform
 * @param scheduling the order of requests
 * @param limits the limits of requests
 * @param drainMillis the longest time that a planned stop waits for running requests
 */
public record AgentSettings(
    String instance,
    String region,
    String dataCentre,
    String innerListen,
    String operationsListen,
    String secret,
    TargetSettings target,
    PlatformAddresses platform,
    SchedulingSettings scheduling,
    AgentLimits limits,
    long drainMillis) {

  /** Shortest secret that is accepted, in characters. */
  private static final int MIN_SECRET = 16;

  /** Largest number of requests granted ahead. */
  private static final long MAX_PREFETCH = 64;

  /** Longest time limit that is accepted, in milliseconds: one hour. */
  private static final long MAX_MILLIS = 3_600_000;

  /** Shortest interval between digest waves, in milliseconds. */
  private static final long MIN_DIGEST_MILLIS = 100;

  /** Default time limit for connecting to the target, in milliseconds. */
  private static final long CONNECT_MILLIS = 1_000;

  /** Default time limit of a planned stop, in milliseconds. */
  private static final long DRAIN_MILLIS = 300_000;

  /** Largest window that is accepted, in bytes. */
  private static final long MAX_WINDOW = 4L << 20;

  /**
   * The target beside the agent.
   *
   * @param name the name in the catalog
   * @param address the address as {@code ip:port}
   * @param connectMillis the time limit for connecting
   */
  public record TargetSettings(String name, String address, long connectMillis) {

    /**
     * Returns the IP number.
     *
     * @return the part of the address before the port
     */
    String host() {
      return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * Returns the port.
     *
     * @return the port
     */
    int port() {
      return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
  }

  /**
   * Order of requests.
   *
   * @param policy the order of the offers
   * @param localitySlackMillis what is added to the account of an offer from another region
   * @param largestCostMillis the slot time of the largest request
   * @param digest the times of the digest waves
   */
  public record SchedulingSettings(
      Policy policy, long localitySlackMillis, long largestCostMillis, DigestSettings digest) {

    /** Settings of a fleet that does not change them. */
    static final SchedulingSettings DEFAULT =
        new SchedulingSettings(Policy.FAIR, 0, 10_000, DigestSettings.DEFAULT);
  }

  /**
   * Reads the settings.
   *
   * @param section the top level of the file
   * @return the settings, complete only when there is no finding
   */
  static AgentSettings of(Section section) {
    String secret = section.text("secret");
    if (!secret.isEmpty() && secret.length() < MIN_SECRET) {
      section.report("secret", "must have at least " + MIN_SECRET + " characters");
    }
    Section target = section.section("target");
    Section limits = section.section("limits");
    return new AgentSettings(
        section.text("instance"),
        section.text("region"),
        section.text("data_centre"),
        section.address("inner_listen"),
        section.address("operations_listen"),
        secret,
        new TargetSettings(
            target.text("name"),
            target.address("address"),
            limits.durationMillis("connect", CONNECT_MILLIS, 1, MAX_MILLIS)),
        PlatformAddresses.of(section.section("platform")),
        scheduling(section.section("scheduling")),
        limits(target, limits),
        limits.durationMillis("drain", DRAIN_MILLIS, 0, MAX_MILLIS));
  }

  /**
   * Reads the order of requests.
   *
   * @param section the section
   * @return the order
   */
  private static SchedulingSettings scheduling(Section section) {
    SchedulingSettings defaults = SchedulingSettings.DEFAULT;
    long slack =
        section.durationMillis("locality_slack", defaults.localitySlackMillis(), 0, MAX_MILLIS);
    long largest =
        section.durationMillis("largest_cost", defaults.largestCostMillis(), 1, MAX_MILLIS);
    long interval =
        section.durationMillis(
            "digest_interval", defaults.digest().intervalMillis(), MIN_DIGEST_MILLIS, MAX_MILLIS);
    return new SchedulingSettings(
        policy(section), slack, largest, defaults.digest().withIntervalMillis(interval));
  }

  /**
   * Reads the order of the offers.
   *
   * @param section the section
   * @return the policy
   */
  private static Policy policy(Section section) {
    Optional<String> name = section.optionalText("policy");
    if (name.isEmpty()) {
      return Policy.FAIR;
    }
    for (Policy policy : Policy.values()) {
      if (label(policy).equals(name.get())) {
        return policy;
      }
    }
    section.report("policy", "must be fair, fifo or round-robin, not '" + name.get() + "'");
    return Policy.FAIR;
  }

  /**
   * Returns the name of a policy in settings.
   *
   * @param policy the policy
   * @return its name in lower case with hyphens
   */
  private static String label(Policy policy) {
    return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Reads the limits of requests.
   *
   * @param target the section of the target
   * @param limits the section of the limits
   * @return the limits
   */
  private static AgentLimits limits(Section target, Section limits) {
    AgentLimits defaults = AgentLimits.DEFAULT;
    long reattach = limits.durationMillis("reattach", defaults.reattachMillis(), 0, MAX_MILLIS);
    long progress = limits.durationMillis("progress", defaults.progressMillis(), 1, MAX_MILLIS);
    long window = limits.sizeBytes("window", defaults.windowBytes(), 1, MAX_WINDOW);
    long prefetch = target.integer("prefetch", defaults.prefetch(), 0, MAX_PREFETCH);
    return defaults
        .withTimes(reattach, progress)
        .withWindow((int) window)
        .withPrefetch((int) prefetch);
  }
}
