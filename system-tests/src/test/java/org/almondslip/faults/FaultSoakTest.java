package org.almondslip.faults;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** Random sequences of faults for a given time; run by {@code bin/soak} only. */
class FaultSoakTest {

  private static final int MILLIS_PER_SECOND = 1_000;

  /** Guards against sequences that the fixed seeds of the normal build do not draw. */
  @Test
  @EnabledIfSystemProperty(named = "soak.seconds", matches = "\\d+")
  void promisesHoldForTheWholeTime() {
    long end = System.currentTimeMillis() + Long.getLong("soak.seconds") * MILLIS_PER_SECOND;
    SplittableRandom seeds = new SplittableRandom();
    int runs = 0;
    while (System.currentTimeMillis() < end) {
      FaultSequence.of(seeds.nextLong()).run();
      runs++;
    }
    System.out.println("soak: " + runs + " sequences of faults held");
  }

  /** Repeats one sequence, to look into a failure of the soak. */
  @Test
  @EnabledIfSystemProperty(named = "soak.seed", matches = "-?\\d+")
  void promisesHoldForOneSeed() {
    FaultSequence.of(Long.getLong("soak.seed")).run();
  }
}
