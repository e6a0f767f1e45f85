package org.almondslip.placement;

/** Measurements of one target by this router. */
interface SpeedSamples {

  /**
   * Removes measurements that are too old.
   *
   * @param now the current time in milliseconds
   */
  void expire(long now);

  /** Returns the number of measurements, as a measure of the precision. */
  double count();

  /** Returns the measured duration of work, in a unit that is the same for all targets. */
  double duration();
}
