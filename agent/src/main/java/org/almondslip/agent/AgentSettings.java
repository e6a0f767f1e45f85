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
 * @param innerListen the listen address for inner connections as {@code ip:port}
 * @param operationsListen the listen address for health and metrics as {@code ip:port}
 * @param secret the shared secret of the fleet
 * @param target the target of the agent
 * @param platform the addresses of the platform
 * @param scheduling the settings of request scheduling
 * @param limits the limits of requests
 * @param drainMillis the maximum time a planned stop waits for running requests, in milliseconds
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

  /** Minimum length of the secret, in characters. */
  private static final int MIN_SECRET_LENGTH = 16;

  /** Maximum number of requests granted in advance. */
  private static final long MAX_PREFETCH = 64;

  /** Maximum duration of any setting, in milliseconds: one hour. */
  private static final long MAX_DURATION_MILLIS = 3_600_000;

  /** Minimum interval between digest rounds, in milliseconds. */
  private static final long MIN_DIGEST_MILLIS = 100;

  /** Default connect timeout of the target, in milliseconds. */
  private static final long DEFAULT_CONNECT_MILLIS = 1_000;

  /** Default drain timeout of a planned stop, in milliseconds. */
  private static final long DEFAULT_DRAIN_MILLIS = 300_000;

  /** Maximum flow-control window, in bytes. */
  private static final long MAX_WINDOW_BYTES = 4L << 20;

  /**
   * Settings of the target.
   *
   * @param name the name in the catalog
   * @param address the address as {@code ip:port}
   * @param connectMillis the connect timeout, in milliseconds
   */
  public record TargetSettings(String name, String address, long connectMillis) {

    /**
     * Returns the IP address.
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
   * Settings of request scheduling.
   *
   * @param policy the scheduling policy
   * @param localitySlackMillis added to the account of an offer from another region, in
   *     milliseconds
   * @param largestCostMillis the slot time of the largest request, in milliseconds
   * @param digest the timing of the digest rounds
   */
  public record SchedulingSettings(
      Policy policy, long localitySlackMillis, long largestCostMillis, DigestSettings digest) {

    /** Default settings. */
    static final SchedulingSettings DEFAULT =
        new SchedulingSettings(Policy.FAIR, 0, 10_000, DigestSettings.DEFAULT);
  }

  /**
   * Reads the settings.
   *
   * @param section the top level of the file
   * @return the settings, valid only if the section reports no finding
   */
  static AgentSettings of(Section section) {
    String secret = section.text("secret");
    if (!secret.isEmpty() && secret.length() < MIN_SECRET_LENGTH) {
      section.report("secret", "must have at least " + MIN_SECRET_LENGTH + " characters");
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
            limits.durationMillis("connect", DEFAULT_CONNECT_MILLIS, 1, MAX_DURATION_MILLIS)),
        PlatformAddresses.of(section.section("platform")),
        scheduling(section.section("scheduling")),
        limits(target, limits),
        limits.durationMillis("drain", DEFAULT_DRAIN_MILLIS, 0, MAX_DURATION_MILLIS));
  }

  /**
   * Reads the settings of request scheduling.
   *
   * @param section the section
   * @return the settings of request scheduling
   */
  private static SchedulingSettings scheduling(Section section) {
    SchedulingSettings defaults = SchedulingSettings.DEFAULT;
    long slack =
        section.durationMillis(
            "locality_slack", defaults.localitySlackMillis(), 0, MAX_DURATION_MILLIS);
    long largest =
        section.durationMillis(
            "largest_cost", defaults.largestCostMillis(), 1, MAX_DURATION_MILLIS);
    long interval =
        section.durationMillis(
            "digest_interval",
            defaults.digest().intervalMillis(),
            MIN_DIGEST_MILLIS,
            MAX_DURATION_MILLIS);
    return new SchedulingSettings(
        policy(section), slack, largest, defaults.digest().withIntervalMillis(interval));
  }

  /**
   * Reads the scheduling policy.
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
   * Returns the name of a policy in the settings file.
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
    long reattach =
        limits.durationMillis("reattach", defaults.reattachMillis(), 0, MAX_DURATION_MILLIS);
    long progress =
        limits.durationMillis("progress", defaults.progressMillis(), 1, MAX_DURATION_MILLIS);
    long window = limits.sizeBytes("window", defaults.windowBytes(), 1, MAX_WINDOW_BYTES);
    long prefetch = target.integer("prefetch", defaults.prefetch(), 0, MAX_PREFETCH);
    return defaults
        .withTimes(reattach, progress)
        .withWindow((int) window)
        .withPrefetch((int) prefetch);
  }
}
