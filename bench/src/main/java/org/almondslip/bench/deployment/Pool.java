package org.almondslip.bench.deployment;

import org.almondslip.bench.load.RequestKind;

/**
 * A pool of a deployment.
 *
 * @param name the name
 * @param isModel whether model engines serve it
 * @param targets the number of targets
 * @param slotsPerTarget the slots of each target
 * @param unitMillis the time of one step of an engine, or of one run of a service
 */
public record Pool(String name, boolean isModel, int targets, int slotsPerTarget, long unitMillis) {

  /** Longest run of a plain service, as a multiple of the mean. */
  private static final double SERVICE_SPREAD = 1.5;

  /**
   * Returns all slots of the pool.
   *
   * @return the slots
   */
  public int slots() {
    return targets * slotsPerTarget;
  }

  /**
   * Returns the mean cost of a request.
   *
   * @return the cost in milliseconds of slot time
   */
  public double meanCostMillis() {
    if (!isModel) {
      return unitMillis;
    }
    double steps = 0;
    for (RequestKind kind : RequestKind.values()) {
      steps += kind.isModel() ? kind.meanSteps() * kind.frequency() / 100 : 0;
    }
    return steps * unitMillis;
  }

  /**
   * Returns the largest cost of a request.
   *
   * @return the cost in milliseconds of slot time
   */
  public double maxCostMillis() {
    return isModel
        ? RequestKind.FULL_DRAFT.maxSteps() * (double) unitMillis
        : SERVICE_SPREAD * unitMillis;
  }

  /**
   * Returns the requests that the pool can complete in a second.
   *
   * @return the rate
   */
  public double requestsPerSecond() {
    return slots() * 1000 / meanCostMillis();
  }
}
