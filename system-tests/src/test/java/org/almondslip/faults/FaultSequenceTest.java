package org.almondslip.faults;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class FaultSequenceTest {

  /**
   * Guards against promises that hold for each fault alone but not for faults together, twice or in
   * quick succession.
   */
  @Property(seed = "20261204", tries = 150)
  void promisesHoldUnderRandomSequencesOfFaults(@ForAll long seed) {
    FaultSequence.of(seed).run();
  }
}
