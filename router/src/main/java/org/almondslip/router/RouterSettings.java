package org.almondslip.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.routing.RoutingSettings;
import org.almondslip.settings.Section;

/**
 * Settings of a router.
 *
 * @param instance the name of the instance
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param listen the address for callers
 * @param innerListen the address for inner connections
 * @param adminListen the address for operators
 * @param operationsListen the address for health and metrics
 * @param operatorKey the key that operators send
 * @param secret the secret that all processes of the fleet share
 * @param platform the addresses of the platform
 * @param routing the limits and intervals of the decisions
 * @param callers the limits of the callers' API
 * @param drainMillis the longest time that a planned stop waits for requests
 */
public record RouterSettings(
    String instance,
    String region,
    String dataCentre,
    String listen,
    String innerListen,
    String adminListen,
    String operationsListen,
    String operatorKey,
    String secret,
    PlatformAddresses platform,
    RoutingSettings routing,
    CallerLimits callers,
    long drainMillis) {

  /** Shortest secret that is accepted, in characters. */
  private static final int MIN_SECRET = 16;

  /** Longest time limit that is accepted, in milliseconds: one hour. */
  private static final long MAX_MILLIS = 3_600_000;

  /** Default time limit of a planned stop, in milliseconds. */
  private static final long DRAIN_MILLIS = 300_000;

  /** Largest queue that is accepted, in requests. */
  private static final long MAX_QUEUE = 100_000;

  /**
   * Reads the settings.
   *
   * @param section the top level of the file
   * @return the settings, complete only when there is no finding
   */
  static RouterSettings of(Section section) {
    Section platform = section.section("platform");
    Section limits = section.section("limits");
    return new RouterSettings(
        section.text("instance"),
        section.text("region"),
        section.text("data_centre"),
        section.address("listen"),
        section.address("inner_listen"),
        section.address("admin_listen"),
        section.address("operations_listen"),
        operatorKey(section),
        secret(section),
        PlatformAddresses.of(platform),
        routing(limits),
        CallerLimits.of(limits),
        limits.durationMillis("drain_limit", DRAIN_MILLIS, 0, MAX_MILLIS));
  }

  /**
   * Reads the key of the operators.
   *
   * @param section the top level of the file
   * @return the key, empty when there is a finding
   */
  private static String operatorKey(Section section) {
    String key = section.text("operator_key");
    if (!key.isEmpty() && key.length() < MIN_SECRET) {
      section.report("operator_key", "must have at least " + MIN_SECRET + " characters");
    }
    return key;
  }

  /**
   * Reads the shared secret from the settings or from the file that they name.
   *
   * @param section the top level of the file
   * @return the secret, empty when there is a finding
   */
  private static String secret(Section section) {
    Optional<String> file = section.optionalText("secret_file");
    if (file.isPresent() && section.has("secret")) {
      section.report("secret_file", "must not be given together with secret");
    }
    String key = file.isPresent() ? "secret_file" : "secret";
    String secret = file.map(name -> read(section, name)).orElseGet(() -> section.text("secret"));
    if (!secret.isEmpty() && secret.length() < MIN_SECRET) {
      section.report(key, "must have at least " + MIN_SECRET + " characters");
    }
    return secret;
  }

  /**
   * Reads the file with the secret.
   *
   * @param section the top level of the settings
   * @param name the name of the file
   * @return the content without surrounding white space, empty when it cannot be read
   */
  private static String read(Section section, String name) {
    section.optionalText("secret");
    try {
      String secret = Files.readString(Path.of(name)).trim();
      if (secret.isEmpty()) {
        section.report("secret_file", "names an empty file");
      }
      return secret;
    } catch (IOException e) {
      section.report("secret_file", "names a file that cannot be read");
      return "";
    }
  }

  /**
   * Reads the limits and intervals of the decisions.
   *
   * @param limits the section of the limits
   * @return the limits
   */
  private static RoutingSettings routing(Section limits) {
    RoutingSettings base = RoutingSettings.DEFAULT;
    long flow = limits.integer("queue_per_flow", base.queuePerFlow(), 1, MAX_QUEUE);
    long organisation =
        limits.integer("queue_per_organisation", base.queuePerOrganisation(), 1, MAX_QUEUE);
    long router = limits.integer("queue_per_router", base.queuePerRouter(), 1, MAX_QUEUE);
    if (flow > organisation) {
      limits.report("queue_per_flow", "must not exceed queue_per_organisation");
    }
    if (organisation > router) {
      limits.report("queue_per_organisation", "must not exceed queue_per_router");
    }
    long held = limits.sizeBytes("held_bodies", base.heldBytes(), 1 << 20, 1L << 30);
    long spill = limits.durationMillis("spill_after", base.spillAfterMillis(), 0, MAX_MILLIS);
    long reattach = limits.durationMillis("reattach", base.reattachMillis(), 0, MAX_MILLIS);
    long noTarget = limits.durationMillis("no_target", base.noTargetMillis(), 0, MAX_MILLIS);
    return base.withQueues((int) flow, (int) organisation, (int) router)
        .withHeldBytes(held)
        .withTimes(spill, reattach, noTarget);
  }
}
