package org.almondslip.standins.target;

import org.almondslip.settings.Section;
import org.almondslip.standins.Standin;
import org.almondslip.time.Clock;

/**
 * Settings of a model engine.
 *
 * @param slots streams that run at full speed
 * @param stepMillis time of one step at full speed, in which each stream gets one token
 * @param prefillTokensPerStep prompt tokens that a stream reads in one step
 * @param cacheBlocks prompt blocks that fit into the prefix cache
 * @param loadLagMillis age of the load that {@code GET /load} reports
 * @param loadMillis time that a control command takes
 * @param fencingChecked whether commands with an old fencing token are refused
 */
public record EngineSettings(
    int slots,
    long stepMillis,
    int prefillTokensPerStep,
    int cacheBlocks,
    long loadLagMillis,
    long loadMillis,
    boolean fencingChecked) {

  /** Largest count that settings accept. */
  private static final int MAX_COUNT = 1_000_000;

  /** Longest time that settings accept, in milliseconds. */
  private static final long MAX_MILLIS = 60_000;

  /**
   * Reads the settings of an engine.
   *
   * @param name the name of the stand-in
   * @param section its section
   * @return a factory of the engine
   */
  public static Standin.Factory read(String name, Section section) {
    String address = section.address("listen");
    EngineSettings settings =
        new EngineSettings(
            (int) section.integer("slots", 8, 1, MAX_COUNT),
            section.durationMillis("step", 25, 1, MAX_MILLIS),
            (int) section.integer("prefill_tokens_per_step", 256, 1, MAX_COUNT),
            (int) section.integer("cache_blocks", 4096, 0, MAX_COUNT),
            section.durationMillis("load_lag", 500, 1, MAX_MILLIS),
            section.durationMillis("load_time", 200, 0, MAX_MILLIS),
            section.flag("fencing_checked", true));
    return vertx ->
        new TargetServer(name, address, new ModelEngine(settings, vertx, Clock.Standard.SYSTEM))
            .toStandin(vertx);
  }
}
