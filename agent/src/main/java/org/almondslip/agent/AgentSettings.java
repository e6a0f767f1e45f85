package org.almondslip.agent;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
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
 * @param scheduling the order in which waiting requests get slots
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
   * Order in which waiting requests get slots.
   *
   * @param policy the order among flows
   * @param largestCostMillis the slot time of the largest request
   * @param localitySlackMillis what is added to the account of offers from other regions
   */
  public record SchedulingSettings(
      Policy policy, long largestCostMillis, long localitySlackMillis) {

    /** Default slot time of the largest request, in milliseconds. */
    private static final long LARGEST_COST_MILLIS = 30_000;

    /** Default addition to the account of offers from other regions, in milliseconds. */
    private static final long LOCALITY_SLACK_MILLIS = 1_000;

    /**
     * Reads the order.
     *
     * @param section the top level of the file
     * @return the order
     */
    static SchedulingSettings of(Section section) {
      String name = section.optionalText("policy").orElse("fair");
      Optional<Policy> policy =
          Arrays.stream(Policy.values()).filter(known -> label(known).equals(name)).findFirst();
      if (policy.isEmpty()) {
        section.report("policy", "must be fair, fifo or round-robin");
      }
      Section accounts = section.section("accounts");
      return new SchedulingSettings(
          policy.orElse(Policy.FAIR),
          accounts.durationMillis("largest_cost", LARGEST_COST_MILLIS, 1, MAX_MILLIS),
          accounts.durationMillis("locality_slack", LOCALITY_SLACK_MILLIS, 0, MAX_MILLIS));
    }

    /**
     * Returns the name of a policy in settings.
     *
     * @param policy the policy
     * @return the name
     */
    private static String label(Policy policy) {
      return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
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
        SchedulingSettings.of(section),
        limits(target, limits),
        limits.durationMillis("drain", DRAIN_MILLIS, 0, MAX_MILLIS));
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
