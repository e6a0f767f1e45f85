package org.almondslip.standins.target;

import org.almondslip.settings.Section;
import org.almondslip.standins.Standin;
import org.almondslip.time.Clock;

/**
 * Settings of a plain service.
 *
 * @param runMillis mean time of a run
 * @param slots runs that the service is meant for, only reported
 */
public record ServiceSettings(long runMillis, int slots) {

  /** Longest run that settings accept, in milliseconds. */
  private static final long MAX_MILLIS = 60_000;

  /** Largest number of slots that settings accept. */
  private static final int MAX_SLOTS = 10_000;

  /**
   * Reads the settings of a service.
   *
   * @param name the name of the stand-in
   * @param section its section
   * @return a factory of the service
   */
  public static Standin.Factory read(String name, Section section) {
    String address = section.address("listen");
    ServiceSettings settings =
        new ServiceSettings(
            section.durationMillis("run_time", 50, 0, MAX_MILLIS),
            (int) section.integer("slots", 8, 1, MAX_SLOTS));
    return vertx ->
        new TargetServer(name, address, new PlainService(settings, vertx, Clock.Standard.SYSTEM))
            .toStandin(vertx);
  }
}
